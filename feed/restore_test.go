package feed_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/aspenswitch/aspenswitch/boottime"
	"github.com/aspenswitch/aspenswitch/feed"
	"github.com/aspenswitch/aspenswitch/registry"
	"github.com/aspenswitch/aspenswitch/revision"
	"github.com/aspenswitch/aspenswitch/routing"
)

// restoredSource is a platform with one entry a page, which may be restored from a copy between any
// two calls.
type restoredSource struct {
	mu             sync.Mutex
	epoch, counter int64
	entries        []feed.Change
	history        []feed.Change
	// beforeCall is called before each answer.
	beforeCall func()
}

func (s *restoredSource) setBeforeCall(beforeCall func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.beforeCall = beforeCall
}

func (s *restoredSource) at(counter int64) int64 {
	r, err := revision.New(s.epoch, counter)
	if err != nil {
		panic(err)
	}
	return r
}

// write adds or replaces an entry.
func (s *restoredSource) write(c feed.Change) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counter++
	c.Revision = s.counter
	kept := s.entries[:0:0]
	for _, e := range s.entries {
		if entryName(e) != entryName(c) {
			kept = append(kept, e)
		}
	}
	if c.DeletedUpstream == "" && (c.Evacuation == nil || !c.Evacuation.Ended) {
		kept = append(kept, c)
	}
	s.entries, s.history = kept, append(s.history, c)
}

func entryName(c feed.Change) string {
	switch {
	case c.Config != nil:
		return "config"
	case c.Upstream != nil:
		return c.Upstream.ID
	case c.Evacuation != nil:
		return "evacuation of " + c.Evacuation.Domain
	}
	return c.DeletedUpstream
}

// has reports whether a change is published already.
func (s *restoredSource) has(c feed.Change) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.entries {
		if entryName(e) == entryName(c) {
			return e.Upstream != nil && c.Upstream != nil && *e.Upstream == *c.Upstream || e.Evacuation != nil && !c.Evacuation.Ended
		}
	}
	return c.DeletedUpstream != "" || c.Evacuation != nil && c.Evacuation.Ended
}

// copied returns a function that restores the platform to its present state. The caller of the
// function must hold mu.
func (s *restoredSource) copied() func() {
	s.mu.Lock()
	defer s.mu.Unlock()
	counter, entries, history := s.counter, append([]feed.Change(nil), s.entries...), append([]feed.Change(nil), s.history...)
	return func() { s.epoch, s.counter, s.entries, s.history = s.epoch+1, counter, entries, history }
}

// published returns an entry with the current epoch's revision.
func (s *restoredSource) published(c feed.Change) feed.Change {
	c.Revision = s.at(c.Revision)
	if c.Upstream != nil {
		u := *c.Upstream
		u.Revision = c.Revision
		c.Upstream = &u
	}
	return c
}

func (s *restoredSource) List(_ context.Context, after string) (feed.Page, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.beforeCall()
	var i int
	_, _ = fmt.Sscan(after, &i) // 0 for the first page
	page := feed.Page{Batch: feed.Batch{Revision: s.at(s.counter)}}
	if i < len(s.entries) {
		page.Changes = []feed.Change{s.published(s.entries[i])}
	}
	if i+1 < len(s.entries) {
		page.Next = fmt.Sprint(i + 1)
	}
	return page, nil
}

func (s *restoredSource) Watch(ctx context.Context, after int64, wait time.Duration) (feed.Batch, error) {
	b, err := s.changesAfter(after)
	if err != nil || len(b.Changes) > 0 {
		return b, err
	}
	return b, sleep(ctx, min(wait, 100*time.Millisecond))
}

func (s *restoredSource) changesAfter(after int64) (feed.Batch, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.beforeCall()
	if revision.Epoch(after) != s.epoch || revision.Counter(after) > s.counter {
		return feed.Batch{}, feed.ErrHistoryGone
	}
	b := feed.Batch{Revision: s.at(s.counter)}
	for _, c := range s.history {
		if c.Revision > revision.Counter(after) {
			b.Changes = append(b.Changes, s.published(c))
		}
	}
	return b, nil
}

func newRestoredSource(upstreams int) *restoredSource {
	s := &restoredSource{beforeCall: func() {}}
	s.write(configChange(1))
	for i := range upstreams {
		s.write(upstreamChange(fmt.Sprint("u", i), 0))
	}
	return s
}

// Guards against states that go back, or never follow, when the platform is restored at any moment,
// also between two pages of a listing and several times in a row.
func TestStateNeverGoesBackAndFollowsARestoredPlatform(t *testing.T) {
	for seed := range uint64(40) {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			rnd := rand.New(rand.NewPCG(seed, 0))
			s := newRestoredSource(8)
			f := start(t, s)
			time.Sleep(time.Second)
			version, highest, leaving, gone := int64(1), int64(0), map[string]bool{}, map[string]bool{}
			check := func() {
				now := f.Snapshot()
				g.Expect(now.ConfigVersion()).To(BeNumerically(">=", highest), "seed %d", seed)
				highest = now.ConfigVersion()
				for id := range leaving {
					g.Expect(now.View.Upstream(id)).To(BeNil(), "seed %d: %s leaves", seed, id)
				}
				for id := range gone {
					g.Expect(now.View.Upstream(id)).To(BeNil(), "seed %d: %s is gone", seed, id)
				}
			}
			for range 6 {
				restore := s.copied()
				for range rnd.IntN(4) {
					version++
					s.write(configChange(version))
				}
				if rnd.IntN(2) == 0 {
					id := fmt.Sprint("u", rnd.IntN(4))
					s.write(feed.Change{Upstream: &registry.Upstream{ID: id, Service: "llm", Draining: true}})
					time.Sleep(500 * time.Millisecond)
					leaving[id] = true
				}
				if id := fmt.Sprint("u", 4+rnd.IntN(4)); rnd.IntN(2) == 0 {
					// Deletions within two seconds after an outage may be lapses.
					time.Sleep(2 * time.Second)
					s.write(feed.Change{DeletedUpstream: id})
					time.Sleep(500 * time.Millisecond)
					gone[id] = true
				}
				time.Sleep(time.Duration(rnd.IntN(400)) * time.Millisecond)
				check()
				first := rnd.IntN(4)
				second, calls := first+1+rnd.IntN(10), 0
				s.setBeforeCall(func() {
					if calls++; calls == first || calls == second {
						restore()
					}
				})
				for range 20 {
					time.Sleep(50 * time.Millisecond)
					check()
				}
				s.setBeforeCall(func() {})
				// The operator and the upstreams write again.
				s.write(configChange(version))
				for id := range leaving {
					s.write(feed.Change{Upstream: &registry.Upstream{ID: id, Service: "llm", Draining: true}})
				}
				for id := range gone {
					s.write(feed.Change{DeletedUpstream: id})
				}
				time.Sleep(time.Second)
				check()
				g.Expect(f.Snapshot().ConfigVersion()).To(Equal(version), "seed %d", seed)
				g.Expect(f.Age()).To(BeNumerically("<", time.Second))
			}
		})
	}
}

// Guards against a reader that lists the platform again and again after a restore.
func TestRestoreCostsOneListing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := newRestoredSource(4)
		restore := s.copied()
		for range 20 {
			s.write(configChange(2))
		}
		f := start(t, s)
		time.Sleep(2 * time.Second)
		s.mu.Lock()
		restore()
		s.mu.Unlock()
		before := f.Calls()
		time.Sleep(5 * time.Second)
		// One 410, five pages, and a watch each MinInterval.
		g.Expect(f.Calls() - before).To(BeNumerically("<=", 6+int64(5*time.Second/testConfig().MinInterval)))
		g.Expect(revision.Epoch(f.StateVersion().Revision)).To(Equal(int64(1)))
	})
}

// Guards against a peer's state of an earlier epoch that replaces or confirms a later one, and against
// one of a later epoch that doesn't replace an earlier one with a higher counter.
func TestPeersStatesAreOrderedByEpoch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		clock := func() boottime.Time { return boottime.Time(time.Hour) }
		state := func(epoch, counter, version int64) *feed.PeerState {
			s := &feed.PeerState{Epoch: epoch, Revision: counter, Config: &routing.Config{Version: version}, Upstreams: []registry.Upstream{{ID: fmt.Sprint("u", epoch), Service: "llm", Revision: counter}}}
			g.Expect(s.JoinEpoch()).To(Succeed())
			return s
		}
		f := feed.New(testConfig(), newRestoredSource(1), clock, zerolog.Nop(), func() bool { return false }, func() {})
		f.Import(state(0, 30, 3), clock())
		f.Import(state(1, 20, 4), clock())
		g.Expect(f.StateVersion().ConfigVersion).To(Equal(int64(4)))
		g.Expect(f.Snapshot().View.Upstream("u1")).NotTo(BeNil())
		g.Expect(f.ConfirmRevision(30, clock())).To(BeFalse())
		f.Import(state(0, 40, 2), clock())
		g.Expect(revision.Epoch(f.StateVersion().Revision)).To(Equal(int64(1)))
		g.Expect(f.StateVersion().ConfigVersion).To(Equal(int64(4)))

		sent := f.Export(feed.StateVersion{ConfigVersion: 4, Revision: 30})
		g.Expect(sent.Since).To(BeZero(), "the changes since a state of another epoch aren't known")
		sent.SplitEpoch()
		g.Expect(sent.Revision).To(Equal(int64(20)))
		g.Expect(sent.Epoch).To(Equal(int64(1)))
	})
}
