package fleet_test

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/aspenswitch/aspenswitch/boottime"
	"github.com/aspenswitch/aspenswitch/dispatch"
	"github.com/aspenswitch/aspenswitch/feed"
	"github.com/aspenswitch/aspenswitch/fleet"
	"github.com/aspenswitch/aspenswitch/registry"
	"github.com/aspenswitch/aspenswitch/routing"
)

// source is a platform that publishes one state and can be made unavailable.
type source struct {
	mu          sync.Mutex
	revision    int64
	version     int64
	unavailable bool
	// edit modifies the published batch if it isn't nil.
	edit func(*feed.Batch)
	// calls counts all calls, lists those that list the full state.
	calls, lists atomic.Int64
	// changed is closed on the next change.
	changed chan struct{}
}

// state returns the published batch, nil while the platform is unavailable, and a channel
// that is closed on the next change.
func (s *source) state() (*feed.Batch, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	if s.unavailable {
		return nil, s.changed
	}
	b := &feed.Batch{Revision: s.revision, Changes: []feed.Change{{Revision: s.revision, Config: &routing.Config{
		Version:  s.version,
		Services: []routing.Service{{Name: "llm", Engine: &routing.Engine{Slots: 64, KVTokens: 232000}}},
		Limits:   routing.Limits{TokensPerSecond: 400000},
	}}}}
	for i := range 6 {
		b.Changes = append(b.Changes, feed.Change{Revision: 1, Upstream: &registry.Upstream{
			ID: fmt.Sprintf("u%d", i), Service: "llm", Address: "127.0.0.1:1", Slots: 64, Revision: 1,
		}})
	}
	if s.edit != nil {
		s.edit(b)
	}
	return b, s.changed
}

// change updates the source and ends its waiting watches.
func (s *source) change(update func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	update()
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
}

func (s *source) publish() {
	s.change(func() {
		s.revision++
		s.version++
	})
}

var errUnavailable = errors.New("platform is unavailable")

func (s *source) List(context.Context, string) (feed.Page, error) {
	s.calls.Add(1)
	s.lists.Add(1)
	b, _ := s.state()
	if b == nil {
		return feed.Page{}, errUnavailable
	}
	return feed.Page{Batch: *b}, nil
}

func (s *source) Watch(ctx context.Context, after int64, wait time.Duration) (feed.Batch, error) {
	s.calls.Add(1)
	end := time.NewTimer(wait)
	defer end.Stop()
	for {
		b, changed := s.state()
		if b == nil {
			return feed.Batch{}, errUnavailable
		}
		if b.Revision > after {
			return *b, nil
		}
		select {
		case <-changed:
		case <-end.C:
			return feed.Batch{Revision: after}, nil
		case <-ctx.Done():
			return feed.Batch{}, ctx.Err()
		}
	}
}

// revokeTimeout is the age up to which a router may act on its view.
const revokeTimeout = 2 * time.Second

// member is a router of the tested fleet.
type member struct {
	node *fleet.Node
	feed *feed.Feed
	stop context.CancelFunc
	done chan struct{}
	addr netip.AddrPort
}

// addr returns the address of the i-th router.
func addr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7400)
}

// shutdownTime is longer than any call of a router takes to end after the router stops.
const shutdownTime = 5 * time.Second

// cluster is a fleet in virtual time, in one failure domain unless configure sets others.
type cluster struct {
	t   *testing.T
	net *network
	all []*member
	// configure modifies the configuration of the i-th router.
	configure func(i int, c *fleet.Config)
	// uptime is the uptime of the VM when a router starts.
	uptime time.Duration
}

func newCluster(t *testing.T) *cluster {
	return &cluster{t: t, net: newNetwork(1), configure: func(int, *fleet.Config) {}, uptime: time.Hour}
}

// start runs n routers with the first one as their seed, and waits until all of them are
// members of each other and have a state.
func start(t *testing.T, n int, sources ...*source) []*member {
	t.Helper()
	return startCluster(t, n, sources...).all
}

func startCluster(t *testing.T, n int, sources ...*source) *cluster {
	t.Helper()
	c := newCluster(t)
	c.start(n, sources...)
	return c
}

func (c *cluster) start(n int, sources ...*source) {
	c.t.Helper()
	for i := range n {
		c.run(i, sources[i%len(sources)])
	}
	g := NewWithT(c.t)
	for _, m := range c.all {
		g.Eventually(func() int { return len(m.node.Dump().Members) }, time.Minute, 10*time.Millisecond).Should(Equal(n - 1))
		g.Eventually(m.feed.Snapshot, time.Minute, 10*time.Millisecond).ShouldNot(BeNil())
	}
}

// bytesPerSecond returns the mean control traffic that a router sends in 10 s, in which do runs.
func (c *cluster) bytesPerSecond(do func()) float64 {
	const measured = 10 * time.Second
	sent := func() (sum int) {
		for _, m := range c.all {
			_, bytes := c.net.traffic(m.addr)
			sum += bytes
		}
		return sum
	}
	before, started := sent(), time.Now()
	do()
	time.Sleep(measured - time.Since(started))
	return float64(sent()-before) / float64(len(c.all)) / measured.Seconds()
}

// run starts the i-th router.
func (c *cluster) run(i int, s *source) {
	cfg := fleet.DefaultConfig()
	cfg.IP, cfg.Port, cfg.Domain, cfg.Weight = addr(i).Addr().String(), int(addr(i).Port()), "d", 1
	cfg.Seeds, cfg.RandomSeed = []string{addr(0).Addr().String()}, uint64(i+1)
	cfg.MaxLeaderStateAge = feed.DefaultConfig(revokeTimeout, revokeTimeout).MaxFollowerAge
	c.configure(i, &cfg)
	bootedAt := time.Now().Add(-c.uptime)
	now := func() boottime.Time { return boottime.Time(time.Since(bootedAt)) }
	m := &member{node: fleet.New(cfg, c.net.listen(addr(i)), now, zerolog.Nop()), done: make(chan struct{}), addr: addr(i)}
	m.feed = feed.New(feed.DefaultConfig(revokeTimeout, revokeTimeout), s, now, zerolog.Nop(), m.node.ReadsPlatform, m.node.NotifyStateChange)
	m.node.Attach(m.feed)
	ctx, cancel := context.WithCancel(context.Background())
	m.stop = cancel
	go m.feed.Run(ctx)
	go func() {
		defer close(m.done)
		m.node.Run(ctx)
	}()
	c.t.Cleanup(func() {
		cancel()
		time.Sleep(shutdownTime)
	})
	c.all = append(c.all, m)
}

func requestPlacement(m *member, session uint64) (dispatch.Decision, dispatch.Ticket, error) {
	r := dispatch.Request{
		Ticket: m.node.NewTicket(), Team: "a", Prompt: 3000, Output: 10, Target: 5 * time.Second, Timeout: 10 * time.Second,
		Parts: []dispatch.Part{{ID: session, Tokens: 2000}, {ID: 1 << 50, Tokens: 1000}},
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	d, err := m.node.Place(ctx, "llm", r)
	return d, r.Ticket, err
}

// Guards against routers that send requests of one session to different upstreams. Its prompt
// parts are cached at only one of them.
func TestAllRoutersSendASessionToTheSameUpstream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		all := start(t, 4, &source{revision: 1, version: 1})
		chosen := ""
		for i := range 8 {
			m := all[i%len(all)]
			d, ticket, err := requestPlacement(m, 5)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(d.Verdict).To(Equal(dispatch.Send))
			if chosen == "" {
				chosen = d.Upstream
			}
			g.Expect(d.Upstream).To(Equal(chosen))
			m.node.Started("llm", ticket, dispatch.LoadReport{})
			m.node.Done("llm", ticket, dispatch.Served, time.Second)
		}
	})
}

// Guards against requests that wait for a home that has stopped without notice. Routers that
// get no answer must decide, and a new home must be chosen.
func TestRequestsArePlacedWhenTheHomeIsGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		all := start(t, 4, &source{revision: 1, version: 1})
		_, _, err := requestPlacement(all[0], 5)
		g.Expect(err).NotTo(HaveOccurred())
		g.Eventually(func() uint64 { return home(all[0]) }, 5*time.Second, 10*time.Millisecond).ShouldNot(BeZero())
		stopped := home(all[0])
		var remaining []*member
		for _, m := range all {
			if m.node.Dump().Router == stopped {
				m.stop()
				<-m.done
				continue
			}
			remaining = append(remaining, m)
		}
		g.Expect(remaining).To(HaveLen(3))
		for i := range 12 {
			d, ticket, err := requestPlacement(remaining[i%3], uint64(i))
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(d.Verdict).To(Equal(dispatch.Send))
			remaining[i%3].node.Done("llm", ticket, dispatch.Served, time.Second)
		}
		g.Eventually(func() []uint64 { return []uint64{home(remaining[0]), home(remaining[1]), home(remaining[2])} }, 10*time.Second, 20*time.Millisecond).
			ShouldNot(ContainElement(stopped))
	})
}

// home returns the home of the service in m's state, 0 if there is none.
func home(m *member) uint64 {
	for _, g := range m.node.Dump().Groups {
		return g.Home
	}
	return 0
}

// Guards against a router that can't read the platform and applies configurations late. It must
// receive them from its peers, and its view must stay fresh.
func TestRouterWithoutThePlatformLearnsFromPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		available, failing := &source{revision: 1, version: 1}, &source{revision: 1, version: 1}
		failing.change(func() { failing.unavailable = true })
		all := start(t, 3, available, failing, available)
		available.publish()
		for _, m := range all {
			g.Eventually(func() int64 { return m.feed.Snapshot().ConfigVersion() }, 10*time.Second, 10*time.Millisecond).Should(Equal(int64(2)))
		}
		g.Consistently(all[1].feed.Fresh, revokeTimeout+revokeTimeout/4, 50*time.Millisecond).Should(BeTrue())
	})
}

// Guards against calls to the platform that grow with the fleet. One router of a failure domain
// must read it, and the others receive the state from that one.
func TestOneRouterOfADomainReadsThePlatform(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := &source{revision: 1, version: 1}
		all := start(t, 6, s)
		g.Eventually(func() int {
			readers := 0
			for _, m := range all {
				if m.node.ReadsPlatform() {
					readers++
				}
			}
			return readers
		}, 10*time.Second, 20*time.Millisecond).Should(Equal(1))
		const span = 2 * time.Second
		before := s.calls.Load()
		time.Sleep(span)
		// One watch at a time for any number of routers, and one more for rounding.
		maxCalls := int64(span/feed.DefaultConfig(revokeTimeout, revokeTimeout).WatchWait) + 1
		g.Expect(s.calls.Load() - before).To(BeNumerically("<=", maxCalls))
		for _, m := range all {
			g.Expect(m.feed.Fresh()).To(BeTrue())
		}
	})
}

// Guards against peers that keep a stopping router as a home. It must announce that it is
// leaving at once.
func TestLeavingRouterGivesUpItsDuties(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		all := start(t, 3, &source{revision: 1, version: 1})
		_, _, err := requestPlacement(all[0], 5)
		g.Expect(err).NotTo(HaveOccurred())
		g.Eventually(func() uint64 { return home(all[0]) }, 5*time.Second, 10*time.Millisecond).ShouldNot(BeZero())
		leaving := home(all[0])
		for _, m := range all {
			if m.node.Dump().Router == leaving {
				m.node.Leave()
			}
		}
		g.Eventually(func() uint64 {
			_, _, err := requestPlacement(all[0], 6)
			g.Expect(err).NotTo(HaveOccurred())
			return home(all[0])
		}, 10*time.Second, 20*time.Millisecond).ShouldNot(Equal(leaving))
	})
}
