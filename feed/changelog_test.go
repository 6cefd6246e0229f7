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

// nowhere is a platform that this test doesn't ask.
type nowhere struct{}

func (nowhere) List(context.Context) (Batch, error) { return Batch{}, context.Canceled }

func (nowhere) Watch(context.Context, int64, time.Duration) (Batch, error) {
	return Batch{}, context.Canceled
}

// ids are what a router takes for the upstreams that there are.
func (f *Feed) ids() []string {
	var all []string
	for _, u := range f.Snapshot().View.All() {
		all = append(all, fmt.Sprint(u.ID, "@", u.Revision))
	}
	slices.Sort(all)
	return all
}

// Routers that learn from a peer get only what has changed since what they have, over
// one router or two, at any moment, also from one whose memory of changes is too
// short. If a change were left out, a router would send to an upstream that has left,
// or never use one that has come.
func TestPeersThatGetChangesAloneMissNone(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		clock := func() boottime.Time { return boottime.Time(time.Hour) }
		one := func() *Feed {
			return New(DefaultConfig(0, 0), nowhere{}, clock, zerolog.Nop(), func() bool { return false }, func() {})
		}
		reader, near, far := one(), one(), one()
		revision := int64(1)
		reader.apply(Batch{Revision: revision, Changes: []Change{config1(revision)}}, clock())
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
		reader.apply(Batch{Revision: revision, Changes: []Change{config1(revision)}}, clock())
		pull(near, reader, clock())
		pull(far, near, clock())
		want := reader.ids()
		if len(want) != len(live) {
			rt.Fatalf("reader has %v, live are %v", want, live)
		}
		for name, f := range map[string]*Feed{"near": near, "far": far} {
			if got := f.ids(); !slices.Equal(got, want) {
				rt.Fatalf("%s has %v, the reader %v", name, got, want)
			}
		}
	})
}

// pull lets one router fetch another's state.
func pull(to, from *Feed, now boottime.Time) {
	from.mu.Lock()
	known := from.snapshot.Load() != nil && from.table != nil
	from.mu.Unlock()
	if !known {
		return
	}
	to.Import(from.Export(to.StateVersion()), now)
}

// config1 is a configuration; without one a router has no state to give.
func config1(revision int64) Change {
	return Change{Revision: revision, Config: &routing.Config{Version: revision}}
}
