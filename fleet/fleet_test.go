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

// source is a platform that publishes one state; it can be taken away.
type source struct {
	mu       sync.Mutex
	revision int64
	version  int64
	away     bool
	// edit, if set, changes what is published.
	edit  func(*feed.Batch)
	calls atomic.Int64
	// changed is closed with the next change.
	changed chan struct{}
}

// state returns what is published, nil while the platform is away, and what closes
// with the next change.
func (s *source) state() (*feed.Batch, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	if s.away {
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

// change changes what is published.
func (s *source) change(do func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	do()
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

var errAway = errors.New("platform is away")

func (s *source) List(context.Context) (feed.Batch, error) {
	s.calls.Add(1)
	b, _ := s.state()
	if b == nil {
		return feed.Batch{}, errAway
	}
	return *b, nil
}

func (s *source) Watch(ctx context.Context, after int64, wait time.Duration) (feed.Batch, error) {
	s.calls.Add(1)
	end := time.NewTimer(wait)
	defer end.Stop()
	for {
		b, changed := s.state()
		if b == nil {
			return feed.Batch{}, errAway
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

// revoke is how long a view may be acted upon in these tests.
const revoke = 2 * time.Second

// member is a router of the test's fleet.
type member struct {
	node *fleet.Node
	feed *feed.Feed
	stop context.CancelFunc
	done chan struct{}
	addr netip.AddrPort
}

// addr is the address of the i-th router.
func addr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7400)
}

// settle is longer than any call of a router takes to end with it.
const settle = 5 * time.Second

// cluster is a fleet in virtual time, in one failure domain unless shape says
// otherwise.
type cluster struct {
	t   *testing.T
	net *network
	all []*member
	// shape changes a router's configuration.
	shape func(i int, c *fleet.Config)
	// up is how long VMs have been up when a router starts.
	up time.Duration
}

func newCluster(t *testing.T) *cluster {
	return &cluster{t: t, net: newNetwork(1), shape: func(int, *fleet.Config) {}, up: time.Hour}
}

// start runs n routers that know the first as a seed, and waits until they know
// each other.
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

// run starts the i-th router.
func (c *cluster) run(i int, s *source) {
	cfg := fleet.DefaultConfig()
	cfg.IP, cfg.Port, cfg.Domain, cfg.Weight = addr(i).Addr().String(), int(addr(i).Port()), "d", 1
	cfg.Seeds, cfg.RandomSeed = []string{addr(0).Addr().String()}, uint64(i+1)
	cfg.MaxLeaderStateAge = feed.DefaultConfig(revoke, revoke).MaxFollowerAge
	c.shape(i, &cfg)
	began := time.Now().Add(-c.up)
	now := func() boottime.Time { return boottime.Time(time.Since(began)) }
	m := &member{node: fleet.New(cfg, c.net.listen(addr(i)), now, zerolog.Nop()), done: make(chan struct{}), addr: addr(i)}
	m.feed = feed.New(feed.DefaultConfig(revoke, revoke), s, now, zerolog.Nop(), m.node.ReadsPlatform, m.node.NotifyStateChange)
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
		time.Sleep(settle)
	})
	c.all = append(c.all, m)
}

func ask(m *member, session uint64) (dispatch.Decision, dispatch.Ticket, error) {
	r := dispatch.Request{
		Ticket: m.node.NewTicket(), Team: "a", Prompt: 3000, Output: 10, Target: 5 * time.Second, Timeout: 10 * time.Second,
		Parts: []dispatch.Part{{ID: session, Tokens: 2000}, {ID: 1 << 50, Tokens: 1000}},
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	d, err := m.node.Place(ctx, "llm", r)
	return d, r.Ticket, err
}

// A session's parts are cached at one upstream; whichever router its requests
// reach, they go there.
func TestAllRoutersSendASessionToTheSameUpstream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		all := start(t, 4, &source{revision: 1, version: 1})
		chosen := ""
		for i := range 8 {
			m := all[i%len(all)]
			d, ticket, err := ask(m, 5)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(d.Verdict).To(Equal(dispatch.Send))
			if chosen == "" {
				chosen = d.Upstream
			}
			g.Expect(d.Upstream).To(Equal(chosen))
			m.node.Started("llm", ticket)
			m.node.Done("llm", ticket, dispatch.Served, time.Second)
		}
	})
}

// The home of a service dies with requests on their way to it. Callers must not
// wait for it: the routers that asked decide, and a new home takes over.
func TestRequestsArePlacedWhenTheHomeIsGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		all := start(t, 4, &source{revision: 1, version: 1})
		_, _, err := ask(all[0], 5)
		g.Expect(err).NotTo(HaveOccurred())
		g.Eventually(func() uint64 { return home(all[0]) }, 5*time.Second, 10*time.Millisecond).ShouldNot(BeZero())
		gone := home(all[0])
		var left []*member
		for _, m := range all {
			if m.node.Dump().Router == gone {
				m.stop()
				<-m.done
				continue
			}
			left = append(left, m)
		}
		g.Expect(left).To(HaveLen(3))
		for i := range 12 {
			d, ticket, err := ask(left[i%3], uint64(i))
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(d.Verdict).To(Equal(dispatch.Send))
			left[i%3].node.Done("llm", ticket, dispatch.Served, time.Second)
		}
		g.Eventually(func() []uint64 { return []uint64{home(left[0]), home(left[1]), home(left[2])} }, 10*time.Second, 20*time.Millisecond).
			ShouldNot(ContainElement(gone))
	})
}

// home is the router that decides for the service, as m sees it.
func home(m *member) uint64 {
	for _, g := range m.node.Dump().Groups {
		return g.Home
	}
	return 0
}

// A configuration would come into force late where the platform turns a router
// away: it learns from its peers, and its view stays fresh.
func TestRouterWithoutThePlatformLearnsFromPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		good, bad := &source{revision: 1, version: 1}, &source{revision: 1, version: 1}
		bad.change(func() { bad.away = true })
		all := start(t, 3, good, bad, good)
		good.publish()
		for _, m := range all {
			g.Eventually(func() int64 { return m.feed.Snapshot().ConfigVersion() }, 10*time.Second, 10*time.Millisecond).Should(Equal(int64(2)))
		}
		g.Consistently(all[1].feed.Fresh, revoke+revoke/4, 50*time.Millisecond).Should(BeTrue())
	})
}

// Calls to the platform must not grow with the fleet: one router of a failure
// domain reads, the others ask it.
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
		// One watch at a time, whatever the number of routers; one more for rounding.
		most := int64(span/feed.DefaultConfig(revoke, revoke).WatchWait) + 1
		g.Expect(s.calls.Load() - before).To(BeNumerically("<=", most))
		for _, m := range all {
			g.Expect(m.feed.Fresh()).To(BeTrue())
		}
	})
}

// A stopping router is no home any more; its peers hear it at once.
func TestLeavingRouterGivesUpItsDuties(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		all := start(t, 3, &source{revision: 1, version: 1})
		_, _, err := ask(all[0], 5)
		g.Expect(err).NotTo(HaveOccurred())
		g.Eventually(func() uint64 { return home(all[0]) }, 5*time.Second, 10*time.Millisecond).ShouldNot(BeZero())
		leaver := home(all[0])
		for _, m := range all {
			if m.node.Dump().Router == leaver {
				m.node.Leave()
			}
		}
		g.Eventually(func() uint64 {
			_, _, err := ask(all[0], 6)
			g.Expect(err).NotTo(HaveOccurred())
			return home(all[0])
		}, 10*time.Second, 20*time.Millisecond).ShouldNot(Equal(leaver))
	})
}
