package feed

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"
	"pgregory.net/rapid"

	"github.com/aspenswitch/aspenswitch/boottime"
	"github.com/aspenswitch/aspenswitch/registry"
	"github.com/aspenswitch/aspenswitch/routing"
)

// unusedSource is a source whose reads always fail; the test applies changes directly.
type unusedSource struct{}

func (unusedSource) List(context.Context, string) (Page, error) { return Page{}, context.Canceled }

func (unusedSource) Watch(context.Context, int64, time.Duration) (Batch, error) {
	return Batch{}, context.Canceled
}

// upstreamRevisions returns the upstreams of the snapshot as sorted "ID@revision" strings.
func (f *Feed) upstreamRevisions() []string {
	var all []string
	for _, u := range f.Snapshot().View.All() {
		all = append(all, fmt.Sprint(u.ID, "@", u.Revision))
	}
	slices.Sort(all)
	return all
}

// Routers fetch incremental changes from a peer, over one hop or two, at any time and
// also from a peer whose change log is too short. If a change were missed, a router
// would send to an upstream that has left, or never use a new one.
func TestPeersThatGetChangesAloneMissNone(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		clock := func() boottime.Time { return boottime.Time(time.Hour) }
		newFeed := func() *Feed {
			return New(DefaultConfig(0, 0), unusedSource{}, clock, zerolog.Nop(), func() bool { return false }, func() {})
		}
		reader, near, far := newFeed(), newFeed(), newFeed()
		revision := int64(1)
		reader.apply(Batch{Revision: revision, Changes: []Change{configChange(revision)}}, clock(), false)
		live := map[string]int64{}
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			switch rapid.IntRange(0, 7).Draw(rt, "step") {
			case 0, 1:
				revision++
				id := fmt.Sprint("u", rapid.IntRange(0, 9).Draw(rt, "put"))
				live[id] = revision
				reader.apply(Batch{Revision: revision, Changes: []Change{{Revision: revision, Upstream: &registry.Upstream{ID: id, Revision: revision}}}}, clock(), false)
			case 2:
				revision++
				id := fmt.Sprint("u", rapid.IntRange(0, 9).Draw(rt, "gone"))
				delete(live, id)
				reader.apply(Batch{Revision: revision, Changes: []Change{{Revision: revision, DeletedUpstream: id}}}, clock(), false)
			case 3:
				pull(near, reader, clock())
			case 4:
				pull(far, near, clock())
			case 5:
				reader.changes.reset(reader.revision)
			case 6:
				revision++
				changeUnheard(rt, live, revision)
				reader.applyListing(listingOf(live, revision, clock()))
			case 7:
				if reader.StateVersion() != (StateVersion{}) {
					near.Import(reader.Export(StateVersion{}), clock())
				}
			}
		}
		revision++
		reader.apply(Batch{Revision: revision, Changes: []Change{configChange(revision)}}, clock(), false)
		pull(near, reader, clock())
		pull(far, near, clock())
		want := reader.upstreamRevisions()
		if len(want) != len(live) {
			rt.Fatalf("reader has %v, live are %v", want, live)
		}
		for name, f := range map[string]*Feed{"near": near, "far": far} {
			if got := f.upstreamRevisions(); !slices.Equal(got, want) {
				rt.Fatalf("%s has %v, the reader %v", name, got, want)
			}
		}
	})
}

// changeUnheard puts and deletes an upstream each without a change that a watch returns.
func changeUnheard(rt *rapid.T, live map[string]int64, revision int64) {
	live[fmt.Sprint("u", rapid.IntRange(0, 9).Draw(rt, "put unheard"))] = revision
	delete(live, fmt.Sprint("u", rapid.IntRange(0, 9).Draw(rt, "gone unheard")))
}

// listingOf returns a complete listing of upstreams, given with their revisions.
func listingOf(live map[string]int64, revision int64, at boottime.Time) listing {
	l := listing{begunAt: at, batch: Batch{Revision: revision}}
	for id, r := range live {
		l.batch.Changes = append(l.batch.Changes, Change{Revision: r, Upstream: &registry.Upstream{ID: id, Revision: r}})
	}
	return l
}

// Guards against peers that all fetch the whole state once the platform has discarded its history.
func TestListingAgainKeepsTheChangesForPeers(t *testing.T) {
	g := NewWithT(t)
	clock := func() boottime.Time { return boottime.Time(time.Hour) }
	newFeed := func() *Feed {
		return New(DefaultConfig(0, 0), unusedSource{}, clock, zerolog.Nop(), func() bool { return false }, func() {})
	}
	reader, leader, follower := newFeed(), newFeed(), newFeed()
	live := map[string]int64{}
	for i := range 2000 {
		live[fmt.Sprint("u", i)] = 5
	}
	reader.applyListing(listingOf(live, 10, clock()))
	reader.apply(Batch{Revision: 11, Changes: []Change{configChange(11)}}, clock(), false)
	pull(leader, reader, clock())
	pull(follower, leader, clock())

	live["u7"] = 12
	live["new"] = 13
	delete(live, "u8")
	reader.applyListing(listingOf(live, 14, clock()))
	for _, hop := range []struct{ from, to *Feed }{{reader, leader}, {leader, follower}} {
		changes := hop.from.Export(hop.to.StateVersion())
		g.Expect(changes.Since).To(Equal(int64(11)))
		g.Expect(changes.Upstreams).To(HaveLen(2))
		g.Expect(changes.Gone).To(Equal([]string{"u8"}))
		hop.to.Import(changes, clock())
	}
	g.Expect(follower.upstreamRevisions()).To(Equal(reader.upstreamRevisions()))
}

// pull imports the state of from into to, if from has one.
func pull(to, from *Feed, now boottime.Time) {
	from.mu.Lock()
	hasState := from.snapshot.Load() != nil && from.table != nil
	from.mu.Unlock()
	if !hasState {
		return
	}
	to.Import(from.Export(to.StateVersion()), now)
}

// configChange returns a configuration; without one a router has no state to export.
func configChange(revision int64) Change {
	return Change{Revision: revision, Config: &routing.Config{Version: revision}}
}
