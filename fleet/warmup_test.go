package fleet_test

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/aspenswitch/aspenswitch/dispatch"
	"github.com/aspenswitch/aspenswitch/feed"
	"github.com/aspenswitch/aspenswitch/fleet"
	"github.com/aspenswitch/aspenswitch/registry"
	"github.com/aspenswitch/aspenswitch/warmup"
)

// coldLimit and coldPolicy are those of the tests' engines.
var (
	coldLimit  = warmup.Limit{Duration: 4 * time.Second, PerSecond: 9.8}
	coldPolicy = warmup.Policy{Overage: 1.5, Slack: 5}
)

// coldFleet is eight routers under load before six engines, of which some turn cold.
type coldFleet struct {
	*cluster
	source *source
	mu     sync.Mutex
	sends  map[string][]time.Duration
	began  time.Time
	// loads counts the calls of load, whose sessions differ.
	loads uint64
	// pause is the time between two requests at a router.
	pause time.Duration
	// silentlyCold is when u0 is warm again; only a probe tells.
	silentlyCold atomic.Int64
}

// domainOf puts two engines in each of three failure domains.
func domainOf(id string) string { return fmt.Sprint("z", (id[1]-'0')/2) }

func newColdFleet(t *testing.T) *coldFleet {
	f := &coldFleet{cluster: newCluster(t), source: &source{revision: 1, version: 1}, sends: map[string][]time.Duration{}, began: time.Now(), pause: 25 * time.Millisecond}
	f.shape = func(_ int, c *fleet.Config) {
		c.WarmUp = coldPolicy
		c.WarmUpLeft = func(_ context.Context, u *registry.Upstream, _ string) (time.Duration, error) {
			if u.ID != "u0" {
				return 0, nil
			}
			return time.Duration(f.silentlyCold.Load()) - time.Since(f.began), nil
		}
	}
	f.source.edit = func(b *feed.Batch) { f.describe(b, nil) }
	f.start(8, f.source)
	time.Sleep(2 * warmup.TakeoverDelay)
	return f
}

// describe gives the engines their warm-up and failure domains; those in cold have just
// turned cold.
func (f *coldFleet) describe(b *feed.Batch, cold []string) {
	for i := range b.Changes {
		c := &b.Changes[i]
		if c.Config != nil {
			c.Config.Services[0].WarmUp = coldLimit
		}
		if c.Upstream == nil {
			continue
		}
		c.Upstream.FailureDomain = domainOf(c.Upstream.ID)
		if slices.Contains(cold, c.Upstream.ID) {
			c.Revision, c.Upstream.Revision, c.Upstream.WarmUpLeft = b.Revision, b.Revision, coldLimit.Duration
		}
	}
}

// turnCold publishes that engines have turned cold under the same start.
func (f *coldFleet) turnCold(ids ...string) {
	f.source.change(func() {
		f.source.revision++
		f.source.edit = func(b *feed.Batch) { f.describe(b, ids) }
	})
}

// evacuate publishes that a failure domain is evacuated or, if ended is set, reopened.
func (f *coldFleet) evacuate(domain string, ended bool) {
	f.source.change(func() {
		f.source.revision++
		order := feed.Change{Revision: f.source.revision, Evacuation: &feed.Evacuation{Domain: domain, Ended: ended}}
		f.source.edit = func(b *feed.Batch) {
			f.describe(b, nil)
			b.Changes = append(b.Changes, order)
		}
	})
}

// load asks for short requests at all routers for a while and notes where they are sent.
func (f *coldFleet) load(d time.Duration) {
	f.loads++
	var wg sync.WaitGroup
	for i, m := range f.all {
		rnd := rand.New(rand.NewPCG(uint64(i), f.loads))
		for at := f.pause; at < d; at += f.pause {
			session := rnd.Uint64() >> 8
			wg.Go(func() {
				time.Sleep(at)
				f.request(m, session)
			})
		}
	}
	wg.Wait()
}

// readTime is how long an engine takes to read the prompt of a request.
const readTime = 11 * time.Millisecond

func (f *coldFleet) request(m *member, session uint64) {
	r := dispatch.Request{
		Ticket: m.node.NewTicket(), Team: "a", Prompt: 100, Output: 10, Target: time.Second, Timeout: 2 * time.Second,
		Parts: []dispatch.Part{{ID: session, Tokens: 90}, {ID: session + 1, Tokens: 10}},
	}
	ctx, cancel := context.WithTimeout(context.Background(), r.Timeout)
	defer cancel()
	d, err := m.node.Place(ctx, "llm", r)
	if err != nil || d.Verdict != dispatch.Send {
		return
	}
	f.mu.Lock()
	f.sends[d.Upstream] = append(f.sends[d.Upstream], time.Since(f.began))
	f.mu.Unlock()
	time.Sleep(readTime)
	m.node.Started("llm", r.Ticket)
	m.node.Done("llm", r.Ticket, dispatch.Served, readTime)
}

// most returns the most requests that an engine got in any second from a moment on.
func (f *coldFleet) most(id string, from time.Time) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	all := slices.DeleteFunc(slices.Clone(f.sends[id]), func(at time.Duration) bool { return at < from.Sub(f.began) })
	slices.SortFunc(all, cmp.Compare[time.Duration])
	most, first := 0, 0
	for i := range all {
		for all[i]-all[first] >= time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// sent returns how many requests an engine got from a moment on.
func (f *coldFleet) sent(id string, from time.Time) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, at := range f.sends[id] {
		if at >= from.Sub(f.began) {
			n++
		}
	}
	return n
}

// homeIndex returns which router is the home of the engines.
func (f *coldFleet) homeIndex() int {
	id := home(f.all[0])
	return slices.IndexFunc(f.all, func(m *member) bool { return m.node.Dump().Router == id })
}

// coldTest plays load on a fleet in which u0 turns cold, with a disturbance half a second later.
func coldTest(t *testing.T, disturb func(f *coldFleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newColdFleet(t)
		f.load(time.Second)
		f.turnCold("u0")
		time.Sleep(500 * time.Millisecond)
		from := time.Now()
		go func() {
			time.Sleep(500 * time.Millisecond)
			disturb(f)
		}()
		f.load(coldLimit.Duration - 600*time.Millisecond)
		g.Expect(f.most("u0", from)).To(BeNumerically("<=", coldPolicy.Bound(coldLimit)))
		g.Expect(f.sent("u0", from)).NotTo(BeZero())
	})
}

// Guards against a rush to an engine that has turned cold under the same start.
func TestColdEngineGetsNoMoreThanItsBound(t *testing.T) { coldTest(t, func(*coldFleet) {}) }

// Guards against routers that are cut off from the homes and send to a cold engine.
func TestColdEngineIsSafeFromRoutersThatAreCutOff(t *testing.T) {
	coldTest(t, func(f *coldFleet) {
		home := addr(f.homeIndex())
		off := func(a netip.AddrPort) bool { return a.Addr().As4()[3]%3 == 1 && a != home }
		f.net.setCut(func(from, to netip.AddrPort) bool { return off(from) || off(to) })
	})
}

// Guards against a successor that doesn't know what the home granted before it was killed.
func TestColdEngineIsSafeWhenItsHomeIsKilled(t *testing.T) {
	coldTest(t, func(f *coldFleet) { f.all[f.homeIndex()].stop() })
}

// Guards against two routers that grant at the same time because each takes itself for the home.
func TestColdEngineIsSafeFromTwoHomes(t *testing.T) {
	coldTest(t, func(f *coldFleet) {
		home := f.homeIndex()
		away := map[netip.AddrPort]bool{}
		for i := 1; i <= 3; i++ {
			away[addr((home+i)%8)] = true
		}
		at := addr(home)
		f.net.setCut(func(from, to netip.AddrPort) bool { return from == at && away[to] || to == at && away[from] })
	})
}

// Guards against a rush to an engine that turns cold while no router can read the platform.
func TestEngineThatTurnsColdInAnOutageGetsNoMoreThanItsBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newColdFleet(t)
		f.pause = 60 * time.Millisecond
		f.source.change(func() { f.source.away = true })
		f.load(1500 * time.Millisecond)
		from := time.Now()
		f.silentlyCold.Store(int64(from.Sub(f.began) + coldLimit.Duration))
		f.load(coldLimit.Duration)
		g.Expect(f.most("u0", from)).To(BeNumerically("<=", coldPolicy.Bound(coldLimit)))
		g.Expect(f.most("u3", from)).To(BeNumerically(">", coldPolicy.Bound(coldLimit)))
	})
}

// Guards against work for an evacuated domain from routers that learn of it from peers only.
func TestEvacuatedDomainGetsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newColdFleet(t)
		f.load(time.Second)
		g.Expect(f.sent("u0", f.began)).NotTo(BeZero())
		f.evacuate("z0", false)
		time.Sleep(revoke)
		from := time.Now()
		f.source.change(func() { f.source.away = true })
		f.load(2 * time.Second)
		g.Expect(f.sent("u0", from) + f.sent("u1", from)).To(BeZero())
		g.Expect(f.sent("u2", from)).NotTo(BeZero())
	})
}

// Guards against a rush to a failure domain whose evacuation has just been withdrawn.
func TestReopenedDomainIsTakenForCold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newColdFleet(t)
		f.evacuate("z0", false)
		f.load(2 * time.Second)
		f.evacuate("z0", true)
		from := time.Now()
		f.load(coldLimit.Duration)
		for _, id := range []string{"u0", "u1"} {
			g.Expect(f.most(id, from)).To(BeNumerically("<=", coldPolicy.Bound(coldLimit)), id)
			g.Expect(f.sent(id, from)).NotTo(BeZero(), id)
		}
	})
}
