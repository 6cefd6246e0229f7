package registry_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/aspenswitch/aspenswitch/boottime"
	"github.com/aspenswitch/aspenswitch/registry"
)

// receivedAt is when tests receive their entries.
const receivedAt = boottime.Time(time.Minute)

func newEntry(id string, revision int64) registry.Upstream {
	return registry.Upstream{ID: id, Service: "llm", Address: "10.0.0.1:80", Revision: revision}
}

// Guards against sending requests to an upstream that has left. It leaves during a listing of
// several pages: its deletion is received first, then a delayed page with the old entry. The
// deletion has the higher revision.
func TestLatePageDoesNotBringBackADeletedEntry(t *testing.T) {
	g := NewWithT(t)
	r := registry.New()
	r.Put(receivedAt, newEntry("a", 3))
	r.Delete("a", 7)
	r.Put(receivedAt, newEntry("a", 3))
	g.Expect(r.View().Upstream("a")).To(BeNil())
}

// Guards against refusing requests although their upstreams are running. Entries lapse during an
// outage of the platform; the upstreams register again within 2 s.
func TestLapsedEntryIsUsedUntilItsGraceEnds(t *testing.T) {
	g := NewWithT(t)
	r := registry.New()
	r.Put(receivedAt, newEntry("a", 3))
	now := boottime.Time(time.Second)
	g.Expect(r.Missing(map[string]bool{"b": true})).To(ConsistOf("a"))
	g.Expect(r.Missing(map[string]bool{"a": true})).To(BeEmpty())
	r.Lapse("a", now.Add(registry.LapseGrace))
	g.Expect(r.View().Upstream("a")).NotTo(BeNil())
	g.Expect(r.Expire(now.Add(registry.LapseGrace - 1))).To(BeFalse())
	g.Expect(r.Expire(now.Add(registry.LapseGrace))).To(BeTrue())
	g.Expect(r.View().Upstream("a")).To(BeNil())
}

// Guards against a grace period that restarts whenever the entry is reported missing again: an
// upstream that has left would be used indefinitely.
func TestLapseIsNotPutOff(t *testing.T) {
	g := NewWithT(t)
	r := registry.New()
	r.Put(receivedAt, newEntry("a", 3))
	now := boottime.Time(time.Second)
	r.Lapse("a", now.Add(registry.LapseGrace))
	r.Lapse("a", now.Add(time.Second+registry.LapseGrace))
	g.Expect(r.Expire(now.Add(registry.LapseGrace))).To(BeTrue())
}

func TestDrainingUpstreamGetsNoNewWork(t *testing.T) {
	g := NewWithT(t)
	r := registry.New()
	r.Put(receivedAt, newEntry("a", 3))
	draining := newEntry("a", 5)
	draining.Draining = true
	r.Put(receivedAt, draining)
	r.Put(receivedAt, newEntry("a", 3))
	g.Expect(r.View().Ready("llm")).To(BeEmpty())
	g.Expect(r.View().Upstream("a")).To(BeNil())
	g.Expect(r.View().All()).To(HaveLen(1))
}

// Guards against applying an older change over a newer one. Changes arrive in any order and more
// than once.
func TestOrderOfChangesDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		type change struct {
			revision int64
			deleted  bool
		}
		n := rapid.IntRange(1, 6).Draw(rt, "changes")
		changes := make([]change, n)
		for i := range changes {
			changes[i] = change{revision: int64(i + 1), deleted: rapid.Bool().Draw(rt, "gone")}
		}
		shuffled := rapid.Permutation(append(changes, changes...)).Draw(rt, "order")
		r := registry.New()
		for _, c := range shuffled {
			if c.deleted {
				r.Delete("a", c.revision)
			} else {
				r.Put(receivedAt, newEntry("a", c.revision))
			}
		}
		last := changes[n-1]
		if (r.View().Upstream("a") == nil) != last.deleted {
			rt.Fatalf("%v: the last change %+v isn't in effect", shuffled, last)
		}
	})
}
