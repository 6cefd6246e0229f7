package feed_test

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/aspenswitch/aspenswitch/boottime"
	"github.com/aspenswitch/aspenswitch/feed"
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
