package registry_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/aspenswitch/aspenswitch/boottime"
	"github.com/aspenswitch/aspenswitch/registry"
)

func inDomain(id, domain string, revision int64) registry.Upstream {
	u := entry(id, revision)
	u.FailureDomain = domain
	return u
}

// Guards against work for an evacuated failure domain, also for upstreams that register late.
func TestEvacuatedDomainTakesNoWork(t *testing.T) {
	g := NewWithT(t)
	r := registry.New()
	r.Put(learned, inDomain("a", "north", 3))
	r.Put(learned, inDomain("b", "south", 4))
	r.RecordEvacuation(learned, "north", false, 5)
	r.Put(learned, inDomain("late", "north", 6))
	v := r.View()
	g.Expect(v.Ready("llm")).To(HaveLen(1))
	g.Expect(v.Upstream("a")).To(BeNil())
	g.Expect(v.UpstreamEvacuated("late")).To(BeTrue())
	g.Expect(v.Count("llm")).To(Equal(3))
	g.Expect(v.ReopenedAt("north")).To(BeZero())

	r.RecordEvacuation(learned.Add(time.Second), "north", true, 7)
	g.Expect(r.View().Ready("llm")).To(HaveLen(3))
	g.Expect(r.View().ReopenedAt("north")).To(Equal(learned.Add(time.Second)))
}

// Guards against an evacuation that a late or repeated word brings back or ends.
func TestNewestOrderOfAnEvacuationHolds(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		type order struct {
			revision int64
			ended    bool
		}
		n := rapid.IntRange(1, 6).Draw(rt, "orders")
		orders := make([]order, n)
		for i := range orders {
			orders[i] = order{revision: int64(i + 1), ended: rapid.Bool().Draw(rt, "ended")}
		}
		r := registry.New()
		r.Put(learned, inDomain("a", "north", 1))
		for _, o := range rapid.Permutation(append(orders, orders...)).Draw(rt, "order") {
			r.RecordEvacuation(learned, "north", o.ended, o.revision)
		}
		if taken := r.View().Upstream("a") != nil; taken != orders[n-1].ended {
			rt.Fatalf("takes work: %v, last order %+v", taken, orders[n-1])
		}
	})
}

// Guards against an evacuation whose end fell into a gap of the history and goes on for ever.
func TestCompleteListEndsAnEvacuation(t *testing.T) {
	g := NewWithT(t)
	r := registry.New()
	r.Put(learned, inDomain("a", "north", 1))
	r.ReplaceEvacuations(learned, map[string]int64{"north": 5, "nowhere": 6}, 6)
	g.Expect(r.View().Evacuated()).To(Equal([]string{"north", "nowhere"}))
	r.ReplaceEvacuations(learned, nil, 6)
	g.Expect(r.View().Evacuated()).To(Equal([]string{"nowhere"}), "a list of the same revision knows of the order")
	r.ReplaceEvacuations(learned, nil, 9)
	g.Expect(r.View().Evacuated()).To(BeEmpty())
	g.Expect(r.View().Upstream("a")).NotTo(BeNil())
}

// Guards against a warm-up that starts anew whenever a router hears of the same entry again.
func TestWarmUpCountsFromTheFirstWordOfAnEntry(t *testing.T) {
	g := NewWithT(t)
	r := registry.New()
	cold := entry("a", 3)
	cold.WarmUpLeft = 4 * time.Second
	r.Put(learned, cold)
	r.Put(learned.Add(time.Second), cold)
	until := func() boottime.Time { return r.View().Upstream("a").WarmUpEnd }
	g.Expect(until()).To(Equal(learned.Add(4 * time.Second)))
	cold.Revision = 4
	r.Put(learned.Add(2*time.Second), cold)
	g.Expect(until()).To(Equal(learned.Add(6*time.Second)), "it has turned cold again")
}
