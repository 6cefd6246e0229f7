package resumption_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/aspenswitch/aspenswitch/resumption"
)

var origin = resumption.Origin{Service: "llm", Version: "v1"}

// Guards against records that are lost early, or that fill the memory.
func TestTableKeepsRecordsForAMinuteAndAtMost65536(t *testing.T) {
	g := NewWithT(t)
	table := resumption.NewTable()
	for i := range 30 * 60 {
		now := time.Duration(i) * time.Second / 30
		table.Record(now, resumption.StreamID(i+1), origin)
		_, found := table.Lookup(1)
		g.Expect(found).To(BeTrue(), "after %v", now)
	}
	table.Record(3*time.Minute, 1<<40, origin)
	table.Record(5*time.Minute, 1<<41, origin)
	g.Expect(table.Len()).To(Equal(2))
	for i := range 200_000 {
		table.Record(5*time.Minute, resumption.StreamID(i+1<<20), origin)
	}
	g.Expect(table.Len()).To(BeNumerically("<=", 1<<16))
	_, found := table.Lookup(resumption.StreamID(199_999 + 1<<20))
	g.Expect(found).To(BeTrue())
}

// Guards against continuing one of two streams that a caller began under one request ID.
func TestStreamsWithOneIDAreOfUnknownVersion(t *testing.T) {
	g := NewWithT(t)
	table := resumption.NewTable()
	table.Record(0, 1, origin)
	table.Record(0, 1, origin)
	known, _ := table.Lookup(1)
	g.Expect(known).To(Equal(origin))
	table.Record(0, 1, resumption.Origin{Service: "llm", Version: "v2"})
	table.Record(0, 1, origin)
	known, _ = table.Lookup(1)
	g.Expect(known.Version).To(BeEmpty())
}

func candidates(routers, domains int) []resumption.Candidate {
	var all []resumption.Candidate
	for i := range routers {
		all = append(all, resumption.Candidate{ID: uint64(i+1) * 0x9e3779b97f4a7c15, Domain: fmt.Sprint("d", i%domains)})
	}
	return all
}

// Guards against records that are lost with one failure domain, or that nobody finds after routers
// have joined and left.
func TestHoldersAreInSeveralDomainsAndAreFoundAfterChanges(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		all := candidates(rapid.IntRange(3, 40).Draw(rt, "routers"), rapid.IntRange(3, 5).Draw(rt, "domains"))
		id := resumption.StreamID(rapid.Uint64().Draw(rt, "stream"))
		holders := resumption.Holders(id, all, resumption.Copies)
		seen := map[string]bool{}
		for _, c := range all {
			if slices.Contains(holders, c.ID) {
				seen[c.Domain] = true
			}
		}
		if len(seen) != resumption.Copies {
			rt.Fatalf("%d holders in %d failure domains", len(holders), len(seen))
		}
		lost := rapid.SampledFrom(holders).Draw(rt, "lost")
		later := slices.DeleteFunc(slices.Clone(all), func(c resumption.Candidate) bool { return c.ID == lost })
		later = append(later, resumption.Candidate{ID: rapid.Uint64().Draw(rt, "joined"), Domain: "d0"})
		slices.SortFunc(later, func(a, b resumption.Candidate) int { return int(a.ID%7) - int(b.ID%7) })
		asked := resumption.Holders(id, later, resumption.Asked)
		found := 0
		for _, holder := range holders {
			if slices.Contains(asked, holder) {
				found++
			}
		}
		if found < resumption.Copies-1 {
			rt.Fatalf("%d of %d holders are asked", found, resumption.Copies-1)
		}
	})
}

// Guards against records that a few routers keep for all.
func TestHoldersAreSpreadEvenly(t *testing.T) {
	g := NewWithT(t)
	all := candidates(584, 5)
	held := map[uint64]int{}
	const streams = 20_000
	for id := range resumption.StreamID(streams) {
		for _, router := range resumption.Holders(id, all, resumption.Copies) {
			held[router]++
		}
	}
	most := 0
	for _, n := range held {
		most = max(most, n)
	}
	g.Expect(most).To(BeNumerically("<", 2*streams*resumption.Copies/len(all)))
}

// versionLife is the time in which upstreams of a version are registered.
type versionLife struct {
	version  string
	from, to time.Duration
}

// Guards against continuing a stream at a version that may not have started it, where this router sees the
// platform late and with pauses.
func TestSoleVersionIsTheOneThatBeganTheStream(t *testing.T) {
	const window = 8 * time.Second
	rapid.Check(t, func(rt *rapid.T) {
		second := func(low, high int, name string) time.Duration {
			return time.Duration(rapid.IntRange(low, high).Draw(rt, name)) * time.Millisecond
		}
		var lives []versionLife
		for i := range rapid.IntRange(1, 3).Draw(rt, "versions") {
			from := second(0, 40_000, "from")
			// An upstream serves longer than the history may miss.
			lives = append(lives, versionLife{fmt.Sprint("v", i%2), from, from + second(2100, 40_000, "for")})
		}
		present := func(at time.Duration) (list []string) {
			for _, l := range lives {
				if at >= l.from && at < l.to && !slices.Contains(list, l.version) {
					list = append(list, l.version)
				}
			}
			return list
		}
		h := resumption.NewHistory()
		now, seen := second(0, 20_000, "start"), time.Duration(0)
		for now < 60*time.Second {
			now += second(50, 900, "pause")
			if rapid.IntRange(0, 9).Draw(rt, "cut off") == 0 {
				now += second(500, 6000, "cut off for")
			}
			seen = now - second(0, 40, "delay")
			h.Update(now, resumption.Versions{"llm": present(seen)})
			h.Confirm(seen)
			continuedAt := now - second(0, 1500, "waited")
			version, evidence := h.SoleVersion(now, "llm", continuedAt, window)
			if evidence != resumption.Sole {
				continue
			}
			for _, l := range lives {
				if l.version != version && l.from < continuedAt && l.to > continuedAt-window+2*time.Second {
					rt.Fatalf("at %v the sole version is %s, but %+v served within %v", now, version, l, window)
				}
			}
		}
	})
}

// Guards against a new version that this router doesn't know yet.
func TestStateOlderThanTheRequestProvesNothing(t *testing.T) {
	g := NewWithT(t)
	h := resumption.NewHistory()
	h.Update(0, resumption.Versions{"llm": {"v1"}})
	for at := time.Duration(0); at <= 20*time.Second; at += time.Second {
		h.Confirm(at)
	}
	_, evidence := h.SoleVersion(20500*time.Millisecond, "llm", 20300*time.Millisecond, 8*time.Second)
	g.Expect(evidence).To(Equal(resumption.Unconfirmed))
	h.Confirm(20400 * time.Millisecond)
	version, evidence := h.SoleVersion(20500*time.Millisecond, "llm", 20300*time.Millisecond, 8*time.Second)
	g.Expect(evidence).To(Equal(resumption.Sole))
	g.Expect(version).To(Equal("v1"))
	h.Update(21*time.Second, resumption.Versions{"llm": {""}})
	_, evidence = h.SoleVersion(21*time.Second, "llm", 20300*time.Millisecond, 8*time.Second)
	g.Expect(evidence).To(Equal(resumption.Several), "an unknown version is none that is known")
}

// Guards against waiting for answers that can't come, and against deciding before they can.
func TestQueryEndsAsSoonAsNothingMoreCanBeKnown(t *testing.T) {
	g := NewWithT(t)
	decide := func(q *resumption.Query, at time.Duration, e resumption.Evidence) resumption.Verdict {
		return q.Decide(at, "v1", e).Verdict
	}
	q := resumption.NewQuery(0, 1, "llm", []uint64{7, 8}, time.Second)
	g.Expect(decide(q, time.Millisecond, resumption.Several)).To(Equal(resumption.Wait))
	q.NotKnown(7)
	g.Expect(decide(q, time.Millisecond, resumption.Several)).To(Equal(resumption.Wait))
	g.Expect(decide(q, 300*time.Millisecond, resumption.Several)).To(Equal(resumption.Refuse))
	q.NotKnown(8)
	g.Expect(decide(q, time.Millisecond, resumption.Several)).To(Equal(resumption.Refuse))
	g.Expect(decide(q, time.Millisecond, resumption.Unconfirmed)).To(Equal(resumption.Wait))
	g.Expect(decide(q, 2*time.Second, resumption.Unconfirmed)).To(Equal(resumption.Refuse))
	g.Expect(decide(q, time.Millisecond, resumption.Sole)).To(Equal(resumption.Continue))

	q = resumption.NewQuery(0, 1, "llm", []uint64{7}, time.Second)
	q.Known(resumption.Origin{Service: "llm", Version: "v2"}, "router 7")
	d := q.Decide(0, "v1", resumption.Sole)
	g.Expect(d.Verdict).To(Equal(resumption.Continue))
	g.Expect(d.Version).To(Equal("v2"), "a record goes before what the state suggests")
	q.Known(origin, "router 8")
	g.Expect(decide(q, 0, resumption.Several)).To(Equal(resumption.Refuse), "records that differ")

	q = resumption.NewQuery(0, 1, "llm", nil, time.Second)
	q.Known(resumption.Origin{Service: "other", Version: "v1"}, "router 7")
	g.Expect(decide(q, 0, resumption.Several)).To(Equal(resumption.Refuse), "another service")
}
