package feed_test

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/aspenswitch/aspenswitch/boottime"
	"github.com/aspenswitch/aspenswitch/feed"
	"github.com/aspenswitch/aspenswitch/registry"
)

// routers are the states of several routers. The first one reads the platform, and each other one fetches
// the state from the one before it.
type routers struct {
	t     *testing.T
	feeds []*feed.Feed
	clock boottime.Clock
}

func startRouters(t *testing.T, source feed.Source, count int) *routers {
	begin := time.Now()
	r := &routers{t: t, clock: func() boottime.Time { return boottime.Time(time.Since(begin) + time.Hour) }}
	for range count {
		r.add(source)
	}
	return r
}

// add starts one more router.
func (r *routers) add(source feed.Source) {
	isReader := len(r.feeds) == 0
	cfg := testConfig()
	if !isReader {
		cfg.FirstStateWait = time.Second // the others fetch their first state too
	}
	f := feed.New(cfg, source, r.clock, zerolog.Nop(), func() bool { return isReader }, func() {})
	ctx, cancel := context.WithCancel(r.t.Context())
	r.t.Cleanup(cancel)
	go f.Run(ctx)
	r.feeds = append(r.feeds, f)
}

// fetch has each router fetch the state of the one before it, as it is encoded between routers, if that is
// newer.
func (r *routers) fetch() {
	for i, f := range r.feeds[1:] {
		peer := r.feeds[i]
		if peer.Snapshot() == nil || !f.ConfirmRevision(peer.StateVersion().Revision, r.clock()) {
			continue
		}
		sent := peer.Export(f.StateVersion())
		sent.SplitEpoch()
		encoded, err := json.Marshal(sent)
		if err != nil {
			r.t.Fatal(err)
		}
		var received feed.PeerState
		if err := json.Unmarshal(encoded, &received); err != nil {
			r.t.Fatal(err)
		}
		if err := received.JoinEpoch(); err != nil {
			r.t.Fatal(err)
		}
		f.Import(&received, r.clock())
	}
}

// run lets time pass while the routers fetch.
func (r *routers) run(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		r.fetch()
	}
}

// ready returns the IDs of the upstreams that a router uses.
func (r *routers) ready(i int) []string {
	ids := []string{}
	for _, u := range r.feeds[i].Snapshot().View.Ready("llm") {
		ids = append(ids, u.ID)
	}
	return ids
}

func (r *routers) evacuated(i int) []string { return r.feeds[i].Snapshot().View.Evacuated() }

// Guards against upstreams that registered after a copy of the platform was taken, and that routers which
// fetch from peers never use again once the platform has been restored from it.
func TestFollowersUseUpstreamsThatRegisterAgainAfterARestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := newRestoredSource(4)
		r := startRouters(t, s, 3)
		r.run(time.Second)
		restore := s.copied()
		for range 20 {
			s.write(upstreamChange("u0", 0))
		}
		for i := range 4 {
			s.write(upstreamChange(fmt.Sprint("added", i), 0))
		}
		r.run(time.Second)
		g.Expect(r.ready(2)).To(HaveLen(8))
		s.mu.Lock()
		restore()
		s.mu.Unlock()
		r.run(time.Second)
		for i := range 4 {
			s.write(upstreamChange(fmt.Sprint("added", i), 0))
		}
		r.run(5 * time.Second)
		for i := range r.feeds {
			g.Expect(r.ready(i)).To(HaveLen(8), "router %d", i)
		}
	})
}

// Guards against an evacuation that can't be withdrawn at routers which fetch from peers, since it was
// ordered before a restore of the platform.
func TestFollowersEndAnEvacuationThatIsWithdrawnAfterARestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := newRestoredSource(4)
		r := startRouters(t, s, 3)
		r.run(time.Second)
		restore := s.copied()
		for range 20 {
			s.write(upstreamChange("u0", 0))
		}
		s.write(feed.Change{Evacuation: &feed.Evacuation{Domain: "hall"}})
		r.run(time.Second)
		s.mu.Lock()
		restore()
		s.mu.Unlock()
		r.run(time.Second)
		s.write(feed.Change{Evacuation: &feed.Evacuation{Domain: "hall"}})
		r.run(time.Second)
		s.write(feed.Change{Evacuation: &feed.Evacuation{Domain: "hall", Ended: true}})
		r.run(2 * time.Second)
		for i := range r.feeds {
			g.Expect(r.evacuated(i)).To(BeEmpty(), "router %d", i)
		}
	})
}

// Guards against an entry of the copy whose upstream had been removed: it must not be used at once by any
// router, and must be used by all if it is still published after a while.
func TestEntryOfTheCopyIsWithheldAndThenUsedByAllRouters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := newRestoredSource(4)
		r := startRouters(t, s, 2)
		r.run(time.Second)
		restore := s.copied()
		s.write(feed.Change{DeletedUpstream: "u1"})
		r.run(3 * time.Second)
		s.mu.Lock()
		restore()
		s.mu.Unlock()
		r.run(500 * time.Millisecond)
		r.add(s)
		for range 10 {
			r.run(500 * time.Millisecond)
			for i := range r.feeds {
				g.Expect(r.ready(i)).To(ConsistOf("u0", "u2", "u3"), "router %d", i)
			}
		}
		r.run(10 * time.Second)
		for i := range r.feeds {
			g.Expect(r.ready(i)).To(ConsistOf("u0", "u1", "u2", "u3"), "router %d", i)
		}
	})
}

// Guards against what routers know from before a restore outlasting its time at routers that start
// meanwhile, and again at those that fetch from them.
func TestHoldAfterARestoreEndsAtTheSameTimeAtAllRouters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := newRestoredSource(4)
		r := startRouters(t, s, 2)
		r.run(time.Second)
		restore := s.copied()
		s.write(feed.Change{Evacuation: &feed.Evacuation{Domain: "hall"}})
		s.write(feed.Change{DeletedUpstream: "u1"})
		r.run(time.Second)
		s.mu.Lock()
		restore()
		s.mu.Unlock()
		for range 3 {
			r.run(3 * time.Second)
			r.add(s)
		}
		r.run(500 * time.Millisecond)
		for i := range r.feeds {
			g.Expect(r.evacuated(i)).To(ConsistOf("hall"), "router %d", i)
			g.Expect(r.ready(i)).To(ConsistOf("u0", "u2", "u3"), "router %d", i)
		}
		r.run(3 * time.Second)
		for i := range r.feeds {
			g.Expect(r.evacuated(i)).To(BeEmpty(), "router %d", i)
			g.Expect(r.ready(i)).To(ConsistOf("u0", "u1", "u2", "u3"), "router %d", i)
		}
	})
}

// published is what upstreams and operators want to be published, whatever the platform has lost.
type published struct {
	// upstreams has the entries of those that run.
	upstreams map[string]registry.Upstream
	evacuated map[string]bool
	starts    int64
}

// start starts an upstream and returns its entry.
func (p *published) start(id string) feed.Change {
	p.starts++
	p.upstreams[id] = registry.Upstream{ID: id, Service: "llm", Started: p.starts}
	return p.entry(id)
}

// entry returns the entry of an upstream, or its deletion.
func (p *published) entry(id string) feed.Change {
	u, runs := p.upstreams[id]
	if !runs {
		return feed.Change{DeletedUpstream: id}
	}
	return feed.Change{Upstream: &u}
}

// change makes a random change and writes it.
func (p *published) change(rnd *rand.Rand, s *restoredSource) {
	id, domain := fmt.Sprint("u", rnd.IntN(8)), fmt.Sprint("hall", rnd.IntN(3))
	switch rnd.IntN(7) {
	case 0:
		s.write(p.start(id))
	case 1:
		if u, runs := p.upstreams[id]; runs {
			u.Draining = true
			p.upstreams[id] = u
		}
		s.write(p.entry(id))
	case 2:
		delete(p.upstreams, id)
		s.write(p.entry(id))
	case 3:
		p.evacuated[domain] = true
		s.write(feed.Change{Evacuation: &feed.Evacuation{Domain: domain}})
	case 4:
		delete(p.evacuated, domain)
		s.write(feed.Change{Evacuation: &feed.Evacuation{Domain: domain, Ended: true}})
	case 5:
		s.write(feed.Change{DeletedUpstream: id}) // its heartbeats were late
	default:
		s.write(p.entry(id))
	}
}

// writeAgain writes what the platform has lost.
func (p *published) writeAgain(rnd *rand.Rand, s *restoredSource) {
	writes := []feed.Change{}
	for i := range 8 {
		writes = append(writes, p.entry(fmt.Sprint("u", i)))
	}
	for i := range 3 {
		domain := fmt.Sprint("hall", i)
		writes = append(writes, feed.Change{Evacuation: &feed.Evacuation{Domain: domain, Ended: !p.evacuated[domain]}})
	}
	rnd.Shuffle(len(writes), func(i, j int) { writes[i], writes[j] = writes[j], writes[i] })
	for _, w := range writes {
		if !s.has(w) {
			s.write(w)
		}
	}
}

// Guards against routers that differ from the platform for good after restores in a row, whether they read
// the platform, fetch from a peer, or start meanwhile.
func TestAllRoutersFollowARestoredPlatform(t *testing.T) {
	for seed := range uint64(300) {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			rnd := rand.New(rand.NewPCG(seed, 1))
			s := newRestoredSource(0)
			p := &published{upstreams: map[string]registry.Upstream{}, evacuated: map[string]bool{}}
			for i := range 8 {
				s.write(p.start(fmt.Sprint("u", i)))
			}
			r := startRouters(t, s, 3)
			r.run(time.Second)
			for range 1 + rnd.IntN(2) {
				for range rnd.IntN(8) {
					p.change(rnd, s)
				}
				restore := s.copied()
				for range rnd.IntN(12) {
					p.change(rnd, s)
					r.run(time.Duration(rnd.IntN(3)) * 100 * time.Millisecond)
				}
				s.mu.Lock()
				restore()
				s.mu.Unlock()
				r.run(time.Duration(rnd.IntN(20)) * 100 * time.Millisecond)
				if rnd.IntN(2) == 0 {
					r.add(s)
				}
				p.writeAgain(rnd, s)
				r.run(time.Duration(rnd.IntN(20)) * 100 * time.Millisecond)
			}
			r.run(15 * time.Second)
			ready := []string{}
			for id, u := range p.upstreams {
				if !u.Draining {
					ready = append(ready, id)
				}
			}
			for i := range r.feeds {
				g.Expect(r.ready(i)).To(ConsistOf(ready), "seed %d, router %d", seed, i)
				g.Expect(r.evacuated(i)).To(ConsistOf(slices.Sorted(maps.Keys(p.evacuated))), "seed %d, router %d", seed, i)
			}
		})
	}
}
