package registry_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/aspenswitch/aspenswitch/boottime"
	"github.com/aspenswitch/aspenswitch/registry"
)

// learned is when the entries of tests became known.
const learned = boottime.Time(time.Minute)

func entry(id string, revision int64) registry.Upstream {
	return registry.Upstream{ID: id, Service: "llm", Address: "10.0.0.1:80", Revision: revision}
}

// A caller's request would reach an upstream that has left. A listing of several
// pages runs while the upstream leaves: its deletion is heard first, then the
// late page brings the old entry. The deletion's revision is the newer one.
func TestLatePageDoesNotBringBackADeletedEntry(t *testing.T) {
	g := NewWithT(t)
	r := registry.New()
	r.Put(learned, entry("a", 3))
	r.Delete("a", 7)
	r.Put(learned, entry("a", 3))
	g.Expect(r.View().Upstream("a")).To(BeNil())
}

// Callers would be refused though their upstreams live. Entries lapse while the
// platform is away; the upstreams register again within two seconds.
func TestLapsedEntryIsUsedUntilItsGraceEnds(t *testing.T) {
	g := NewWithT(t)
	r := registry.New()
	r.Put(learned, entry("a", 3))
	now := boottime.Time(time.Second)
	g.Expect(r.Missing(map[string]bool{"b": true})).To(ConsistOf("a"))
	g.Expect(r.Missing(map[string]bool{"a": true})).To(BeEmpty())
	r.Lapse("a", now.Add(registry.LapseGrace))
	g.Expect(r.View().Upstream("a")).NotTo(BeNil())
	g.Expect(r.Expire(now.Add(registry.LapseGrace - 1))).To(BeFalse())
	g.Expect(r.Expire(now.Add(registry.LapseGrace))).To(BeTrue())
	g.Expect(r.View().Upstream("a")).To(BeNil())
}

// The grace isn't renewed by a second word of the same: an
// upstream that has left would be used for ever.
func TestLapseIsNotPutOff(t *testing.T) {
	g := NewWithT(t)
	r := registry.New()
	r.Put(learned, entry("a", 3))
	now := boottime.Time(time.Second)
	r.Lapse("a", now.Add(registry.LapseGrace))
	r.Lapse("a", now.Add(time.Second+registry.LapseGrace))
	g.Expect(r.Expire(now.Add(registry.LapseGrace))).To(BeTrue())
}

func TestDrainingUpstreamGetsNoNewWork(t *testing.T) {
	g := NewWithT(t)
	r := registry.New()
	r.Put(learned, entry("a", 3))
	leaving := entry("a", 5)
	leaving.Draining = true
	r.Put(learned, leaving)
	r.Put(learned, entry("a", 3))
	g.Expect(r.View().Ready("llm")).To(BeEmpty())
	g.Expect(r.View().Upstream("a")).To(BeNil())
	g.Expect(r.View().All()).To(HaveLen(1))
}

// Changes come in any order and more than once; the newest revision decides.
func TestOrderOfChangesDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		type change struct {
			revision int64
			gone     bool
		}
		n := rapid.IntRange(1, 6).Draw(rt, "changes")
		changes := make([]change, n)
		for i := range changes {
			changes[i] = change{revision: int64(i + 1), gone: rapid.Bool().Draw(rt, "gone")}
		}
		shuffled := rapid.Permutation(append(changes, changes...)).Draw(rt, "order")
		r := registry.New()
		for _, c := range shuffled {
			if c.gone {
				r.Delete("a", c.revision)
			} else {
				r.Put(learned, entry("a", c.revision))
			}
		}
		last := changes[n-1]
		if (r.View().Upstream("a") == nil) != last.gone {
			rt.Fatalf("%v: last change %+v not in force", shuffled, last)
		}
	})
}
