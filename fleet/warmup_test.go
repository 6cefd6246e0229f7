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

// coldLimit and coldPolicy are the warm-up limit and policy of the tested engines.
var (
	coldLimit  = warmup.Limit{Duration: 4 * time.Second, PerSecond: 9.8}
	coldPolicy = warmup.Policy{Overage: 1.5, Slack: 5}
)

// coldFleet is a fleet of eight routers under load with six engines, some of which turn cold.
type coldFleet struct {
	*cluster
	source    *source
	mu        sync.Mutex
	sends     map[string][]time.Duration
	startedAt time.Time
	// loadCount counts the calls of load, so that each uses other sessions.
	loadCount uint64
	// requestInterval is the time between two requests at a router.
	requestInterval time.Duration
	// unpublishedWarmUpEnd is when u0 will have warmed up, in nanoseconds since startedAt. It
	// isn't published and only probes return it.
	unpublishedWarmUpEnd atomic.Int64
}

// domainOf returns the failure domain of an engine. There are two engines in each of three
// domains.
func domainOf(id string) string { return fmt.Sprint("z", (id[1]-'0')/2) }

func newColdFleet(t *testing.T) *coldFleet {
	f := &coldFleet{cluster: newCluster(t), source: &source{revision: 1, version: 1}, sends: map[string][]time.Duration{}, startedAt: time.Now(), requestInterval: 25 * time.Millisecond}
	f.configure = func(_ int, c *fleet.Config) {
		c.WarmUp = coldPolicy
		c.WarmUpLeft = func(_ context.Context, u *registry.Upstream, _ string) (time.Duration, error) {
			if u.ID != "u0" {
				return 0, nil
			}
			return time.Duration(f.unpublishedWarmUpEnd.Load()) - time.Since(f.startedAt), nil
		}
	}
	f.source.edit = func(b *feed.Batch) { f.completeBatch(b, nil) }
	f.start(8, f.source)
	time.Sleep(2 * warmup.TakeoverDelay)
	return f
}

// completeBatch adds the warm-up limit and the engines' failure domains to a batch. The engines
// in cold have just turned cold.
func (f *coldFleet) completeBatch(b *feed.Batch, cold []string) {
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

// turnCold publishes that engines have turned cold without a restart.
func (f *coldFleet) turnCold(ids ...string) {
	f.source.change(func() {
		f.source.revision++
		f.source.edit = func(b *feed.Batch) { f.completeBatch(b, ids) }
	})
}

// evacuate publishes that a failure domain is evacuated or, if ended is set, reopened.
func (f *coldFleet) evacuate(domain string, ended bool) {
	f.source.change(func() {
		f.source.revision++
		order := feed.Change{Revision: f.source.revision, Evacuation: &feed.Evacuation{Domain: domain, Ended: ended}}
		f.source.edit = func(b *feed.Batch) {
			f.completeBatch(b, nil)
			b.Changes = append(b.Changes, order)
		}
	})
}

// load sends short requests through all routers for a duration and records their upstreams.
func (f *coldFleet) load(d time.Duration) {
	f.loadCount++
	var wg sync.WaitGroup
	for i, m := range f.all {
		rnd := rand.New(rand.NewPCG(uint64(i), f.loadCount))
		for at := f.requestInterval; at < d; at += f.requestInterval {
			session := rnd.Uint64() >> 8
			wg.Go(func() {
				time.Sleep(at)
				f.request(m, session)
			})
		}
	}
	wg.Wait()
}

// prefillTime is how long an engine takes to process the prompt of a request.
const prefillTime = 11 * time.Millisecond

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
	f.sends[d.Upstream] = append(f.sends[d.Upstream], time.Since(f.startedAt))
	f.mu.Unlock()
	time.Sleep(prefillTime)
	m.node.Started("llm", r.Ticket, dispatch.LoadReport{})
	m.node.Done("llm", r.Ticket, dispatch.Served, prefillTime)
}

// maxPerSecond returns the largest number of requests sent to an engine within any second since
// from.
func (f *coldFleet) maxPerSecond(id string, from time.Time) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	all := slices.DeleteFunc(slices.Clone(f.sends[id]), func(at time.Duration) bool { return at < from.Sub(f.startedAt) })
	slices.SortFunc(all, cmp.Compare[time.Duration])
	count, first := 0, 0
	for i := range all {
		for all[i]-all[first] >= time.Second {
			first++
		}
		count = max(count, i-first+1)
	}
	return count
}

// sent returns the number of requests sent to an engine since from.
func (f *coldFleet) sent(id string, from time.Time) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, at := range f.sends[id] {
		if at >= from.Sub(f.startedAt) {
			n++
		}
	}
	return n
}

// homeIndex returns the index of the router that is the home of the engines.
func (f *coldFleet) homeIndex() int {
	id := home(f.all[0])
	return slices.IndexFunc(f.all, func(m *member) bool { return m.node.Dump().Router == id })
}

// testColdEngine runs load on a fleet, turns u0 cold, and then runs load again, with a
// disturbance half a second after the start of this second load.
func testColdEngine(t *testing.T, disturb func(f *coldFleet)) {
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
		g.Expect(f.maxPerSecond("u0", from)).To(BeNumerically("<=", coldPolicy.Bound(coldLimit)))
		g.Expect(f.sent("u0", from)).NotTo(BeZero())
	})
}

// Guards against overloading an engine that has turned cold without a restart.
func TestColdEngineGetsNoMoreThanItsBound(t *testing.T) { testColdEngine(t, func(*coldFleet) {}) }

// Guards against routers that are partitioned from the homes and send requests to a cold engine.
func TestColdEngineIsSafeFromRoutersThatAreCutOff(t *testing.T) {
	testColdEngine(t, func(f *coldFleet) {
		home := addr(f.homeIndex())
		off := func(a netip.AddrPort) bool { return a.Addr().As4()[3]%3 == 1 && a != home }
		f.net.setCut(func(from, to netip.AddrPort) bool { return off(from) || off(to) })
	})
}

// Guards against a new home that ignores the requests the killed home has granted.
func TestColdEngineIsSafeWhenItsHomeIsKilled(t *testing.T) {
	testColdEngine(t, func(f *coldFleet) { f.all[f.homeIndex()].stop() })
}

// Guards against two routers that both act as the home and grant requests at the same time.
func TestColdEngineIsSafeFromTwoHomes(t *testing.T) {
	testColdEngine(t, func(f *coldFleet) {
		home := f.homeIndex()
		unreachable := map[netip.AddrPort]bool{}
		for i := 1; i <= 3; i++ {
			unreachable[addr((home+i)%8)] = true
		}
		at := addr(home)
		f.net.setCut(func(from, to netip.AddrPort) bool {
			return from == at && unreachable[to] || to == at && unreachable[from]
		})
	})
}

// Guards against overloading an engine that turns cold while no router can read the platform.
func TestEngineThatTurnsColdInAnOutageGetsNoMoreThanItsBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newColdFleet(t)
		f.requestInterval = 60 * time.Millisecond
		f.source.change(func() { f.source.unavailable = true })
		f.load(1500 * time.Millisecond)
		from := time.Now()
		f.unpublishedWarmUpEnd.Store(int64(from.Sub(f.startedAt) + coldLimit.Duration))
		f.load(coldLimit.Duration)
		g.Expect(f.maxPerSecond("u0", from)).To(BeNumerically("<=", coldPolicy.Bound(coldLimit)))
		g.Expect(f.maxPerSecond("u3", from)).To(BeNumerically(">", coldPolicy.Bound(coldLimit)))
	})
}

// Guards against overloading an engine that turns cold in an outage and gets so many requests that
// it exceeds its bound within half a second.
func TestLoadedEngineThatTurnsColdInAnOutageGetsNoMoreThanItsBound(t *testing.T) {
	for _, untilCold := range []time.Duration{1400 * time.Millisecond, 1550 * time.Millisecond, 1700 * time.Millisecond, 1850 * time.Millisecond} {
		t.Run(untilCold.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				f := newColdFleet(t)
				f.source.change(func() { f.source.unavailable = true })
				f.load(untilCold)
				from := time.Now()
				f.unpublishedWarmUpEnd.Store(int64(from.Sub(f.startedAt) + coldLimit.Duration))
				f.load(coldLimit.Duration)
				g.Expect(f.maxPerSecond("u0", from)).To(BeNumerically("<=", coldPolicy.Bound(coldLimit)))
				g.Expect(f.sent("u0", from)).NotTo(BeZero())
				g.Expect(f.maxPerSecond("u3", from)).To(BeNumerically(">", 2*coldPolicy.Bound(coldLimit)))
			})
		})
	}
}

// Guards against requests to an evacuated domain by routers that receive the state only from
// peers.
func TestEvacuatedDomainGetsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newColdFleet(t)
		f.load(time.Second)
		g.Expect(f.sent("u0", f.startedAt)).NotTo(BeZero())
		f.evacuate("z0", false)
		time.Sleep(revokeTimeout)
		from := time.Now()
		f.source.change(func() { f.source.unavailable = true })
		f.load(2 * time.Second)
		g.Expect(f.sent("u0", from) + f.sent("u1", from)).To(BeZero())
		g.Expect(f.sent("u2", from)).NotTo(BeZero())
	})
}

// Guards against overloading a failure domain whose evacuation has just been withdrawn.
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
			g.Expect(f.maxPerSecond(id, from)).To(BeNumerically("<=", coldPolicy.Bound(coldLimit)), id)
			g.Expect(f.sent(id, from)).NotTo(BeZero(), id)
		}
	})
}
