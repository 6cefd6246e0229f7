package feed

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

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
		reader.apply(Batch{Revision: revision, Changes: []Change{configChange(revision)}}, clock())
		live := map[string]bool{}
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			switch rapid.IntRange(0, 5).Draw(rt, "step") {
			case 0, 1:
				revision++
				id := fmt.Sprint("u", rapid.IntRange(0, 9).Draw(rt, "put"))
				live[id] = true
				reader.apply(Batch{Revision: revision, Changes: []Change{{Revision: revision, Upstream: &registry.Upstream{ID: id, Revision: revision}}}}, clock())
			case 2:
				revision++
				id := fmt.Sprint("u", rapid.IntRange(0, 9).Draw(rt, "gone"))
				delete(live, id)
				reader.apply(Batch{Revision: revision, Changes: []Change{{Revision: revision, DeletedUpstream: id}}}, clock())
			case 3:
				pull(near, reader, clock())
			case 4:
				pull(far, near, clock())
			case 5:
				reader.changes.reset(reader.revision)
			}
		}
		revision++
		reader.apply(Batch{Revision: revision, Changes: []Change{configChange(revision)}}, clock())
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
