package fleet_test

import (
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/aspenswitch/aspenswitch/entry"
	"github.com/aspenswitch/aspenswitch/fleet"
)

// entryFleet is a failure domain of strong VMs, which are hubs, and weak ones.
type entryFleet struct {
	*cluster
	// floods has a flag for each router, which is set while callers flood it.
	floods []atomic.Bool
}

const (
	strongRouters = 3
	entryRouters  = 16
	// leaveDecisionTime is the aim for detection and the hub's decision together. The load balancer
	// then needs up to two seconds, and callers have to be accepted within three.
	leaveDecisionTime = 600 * time.Millisecond
)

// startEntryFleet starts the routers. enabled selects those that may leave the load balancer.
func startEntryFleet(t *testing.T, enabled func(i int) bool) *entryFleet {
	t.Helper()
	f := &entryFleet{cluster: newCluster(t), floods: make([]atomic.Bool, entryRouters)}
	f.configure = func(i int, cfg *fleet.Config) {
		cfg.Hubs, cfg.HubsPerDomain, cfg.Weight = strongRouters, 1, 0.144
		if i < strongRouters {
			cfg.Weight = 0.8
		}
		if enabled(i) {
			cfg.EntryLoad = f.load(i)
		}
	}
	f.start(entryRouters, &source{revision: 1, version: 1})
	time.Sleep(5 * time.Second)
	return f
}

// load returns the load of a router that turns away 2,000 connections a second during a flood.
func (f *entryFleet) load(i int) func() (entry.Load, bool) {
	last := time.Now()
	var rejected float64
	return func() (entry.Load, bool) {
		now := time.Now()
		if f.floods[i].Load() {
			rejected += 2000 * now.Sub(last).Seconds()
		}
		last = now
		return entry.Load{Rejected: int64(rejected)}, true
	}
}

// out returns the indices of the routers that are out of the load balancer.
func (f *entryFleet) out() (indices []int) {
	for i, m := range f.all {
		if m.node.OutOfRotation() {
			indices = append(indices, i)
		}
	}
	return indices
}

func all(int) bool { return true }

// Guards against a flooded router that remains in the load balancer, or doesn't return, and against
// more routers out than a quarter when others are flooded as well.
func TestFloodedRouterLeavesTheLoadBalancer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := startEntryFleet(t, all)
		f.floods[8].Store(true)
		time.Sleep(leaveDecisionTime)
		g.Expect(f.out()).To(Equal([]int{8}))
		for i := 9; i < entryRouters; i++ {
			f.floods[i].Store(true)
		}
		time.Sleep(2 * time.Second)
		g.Expect(len(f.out())).To(BeNumerically("<=", entryRouters/4))
		for i := range f.floods {
			f.floods[i].Store(false)
		}
		time.Sleep(entry.MaxSpan)
		g.Expect(f.out()).To(BeEmpty())
	})
}

// Guards against a flooded router that never leaves because it reads the hub's answers late.
func TestFloodedRouterLeavesThoughItReadsLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := startEntryFleet(t, all)
		const readDelay = 700 * time.Millisecond
		f.net.setReadDelay(f.all[8].addr, readDelay)
		f.floods[8].Store(true)
		time.Sleep(leaveDecisionTime + readDelay)
		g.Expect(f.out()).To(Equal([]int{8}))
		time.Sleep(2 * time.Second)
		g.Expect(f.out()).To(Equal([]int{8}), "its lease is renewed")
	})
}

// Guards against routers that remain out for longer than a lease when the hub is lost, and against
// ones that can't leave once another hub has taken over.
func TestFloodedRouterOutlivesItsHub(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := startEntryFleet(t, all)
		f.floods[8].Store(true)
		time.Sleep(leaveDecisionTime)
		g.Expect(f.out()).To(Equal([]int{8}))
		f.net.setLoss(1)
		time.Sleep(entry.LeaseTTL)
		g.Expect(f.out()).To(BeEmpty())
		f.net.setLoss(0)
		time.Sleep(5 * time.Second)
		hub := slices.IndexFunc(f.all, func(m *member) bool { return len(m.node.Dump().Entry.Domains) > 0 })
		f.all[hub].stop()
		<-f.all[hub].done
		time.Sleep(entry.LeaseTTL)
		g.Eventually(f.out, 10*time.Second, 100*time.Millisecond).Should(ContainElement(8))
	})
}

// Guards against routers that leave without the setting, and against ones that leave without the
// answer of a hub: one of an earlier release, or without the setting.
func TestRouterStaysReadyWithoutAGrant(t *testing.T) {
	for name, enabled := range map[string]func(int) bool{
		"switched off": func(int) bool { return false },
		"hubs without": func(i int) bool { return i >= strongRouters },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				f := startEntryFleet(t, enabled)
				f.floods[8].Store(true)
				for range 100 {
					time.Sleep(100 * time.Millisecond)
					g.Expect(f.out()).To(BeEmpty())
				}
				g.Expect(f.net.extensionsSent() > 0).To(Equal(enabled(8)), "without the setting nothing is sent")
			})
		})
	}
}
