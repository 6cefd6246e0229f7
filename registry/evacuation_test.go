package registry_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/aspenswitch/aspenswitch/boottime"
	"github.com/aspenswitch/aspenswitch/registry"
)

func newEntryInDomain(id, domain string, revision int64) registry.Upstream {
	u := newEntry(id, revision)
	u.FailureDomain = domain
	return u
}

// Guards against sending requests to an evacuated failure domain, including upstreams that
// register after the evacuation was ordered.
func TestEvacuatedDomainTakesNoWork(t *testing.T) {
	g := NewWithT(t)
	r := registry.New()
	r.Put(receivedAt, newEntryInDomain("a", "north", 3))
	r.Put(receivedAt, newEntryInDomain("b", "south", 4))
	r.RecordEvacuation(receivedAt, "north", false, 5)
	r.Put(receivedAt, newEntryInDomain("late", "north", 6))
	v := r.View()
	g.Expect(v.Ready("llm")).To(HaveLen(1))
	g.Expect(v.Upstream("a")).To(BeNil())
	g.Expect(v.UpstreamEvacuated("late")).To(BeTrue())
	g.Expect(v.Count("llm")).To(Equal(3))
	g.Expect(v.EvacuationWithdrawnAt("north")).To(BeZero())

	r.RecordEvacuation(receivedAt.Add(time.Second), "north", true, 7)
	g.Expect(r.View().Ready("llm")).To(HaveLen(3))
	g.Expect(r.View().EvacuationWithdrawnAt("north")).To(Equal(receivedAt.Add(time.Second)))
}

// Guards against delayed or repeated orders that restart or end an evacuation.
func TestNewestOrderOfAnEvacuationHolds(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		type order struct {
			revision  int64
			withdrawn bool
		}
		n := rapid.IntRange(1, 6).Draw(rt, "orders")
		orders := make([]order, n)
		for i := range orders {
			orders[i] = order{revision: int64(i + 1), withdrawn: rapid.Bool().Draw(rt, "ended")}
		}
		r := registry.New()
		r.Put(receivedAt, newEntryInDomain("a", "north", 1))
		for _, o := range rapid.Permutation(append(orders, orders...)).Draw(rt, "order") {
			r.RecordEvacuation(receivedAt, "north", o.withdrawn, o.revision)
		}
		if available := r.View().Upstream("a") != nil; available != orders[n-1].withdrawn {
			rt.Fatalf("accepts requests: %v, last order %+v", available, orders[n-1])
		}
	})
}

// Guards against an evacuation that never ends because the router missed the change that withdrew it.
func TestCompleteListEndsAnEvacuation(t *testing.T) {
	g := NewWithT(t)
	r := registry.New()
	r.Put(receivedAt, newEntryInDomain("a", "north", 1))
	r.ReplaceEvacuations(receivedAt, map[string]int64{"north": 5, "nowhere": 6}, 6)
	g.Expect(r.View().Evacuated()).To(Equal([]string{"north", "nowhere"}))
	r.ReplaceEvacuations(receivedAt, nil, 6)
	g.Expect(r.View().Evacuated()).To(Equal([]string{"nowhere"}), "a list of the same revision doesn't end the evacuation")
	r.ReplaceEvacuations(receivedAt, nil, 9)
	g.Expect(r.View().Evacuated()).To(BeEmpty())
	g.Expect(r.View().Upstream("a")).NotTo(BeNil())
}

// Guards against a warm-up that restarts whenever a router receives the same entry again.
func TestWarmUpCountsFromTheFirstReceiptOfAnEntry(t *testing.T) {
	g := NewWithT(t)
	r := registry.New()
	warming := newEntry("a", 3)
	warming.WarmUpLeft = 4 * time.Second
	r.Put(receivedAt, warming)
	r.Put(receivedAt.Add(time.Second), warming)
	warmUpEnd := func() boottime.Time { return r.View().Upstream("a").WarmUpEnd }
	g.Expect(warmUpEnd()).To(Equal(receivedAt.Add(4 * time.Second)))
	warming.Revision = 4
	r.Put(receivedAt.Add(2*time.Second), warming)
	g.Expect(warmUpEnd()).To(Equal(receivedAt.Add(6*time.Second)), "a new revision restarts the warm-up")
}
