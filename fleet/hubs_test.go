package fleet_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/aspenswitch/aspenswitch/dispatch"
	"github.com/aspenswitch/aspenswitch/fleet"
)

// hubbed is a fleet of some times as many routers as there are hubs, in two failure
// domains, with three strong ones in each.
func hubbed(t *testing.T, s *source) *cluster {
	const routers, domains, strongEach = 18, 2, 3
	c := newCluster(t)
	c.shape = func(i int, cfg *fleet.Config) {
		cfg.Hubs, cfg.HubsPerDomain = 3, 1
		cfg.Domain, cfg.Weight = fmt.Sprint("d", i%domains), 0.19
		if i < domains*strongEach {
			cfg.Weight = 0.8
		}
	}
	for i := range routers {
		c.run(i, s)
	}
	return c
}

// knowsAll waits until every router knows all others.
func (c *cluster) knowsAll(g *WithT, within time.Duration) {
	for _, m := range c.all {
		g.Eventually(func() int { return len(m.node.Dump().Members) }, within, 500*time.Millisecond).Should(Equal(len(c.all) - 1))
	}
}

// Heartbeats of all to all would take a twentieth of a small VM's processor. A router
// that is no hub sends less than half of what it would then, and still knows all others and
// has a fresh view of the platform.
func TestHeartbeatsDoNotGrowWithTheSquareOfTheFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		c := hubbed(t, &source{revision: 1, version: 1})
		c.knowsAll(g, 10*time.Second)
		time.Sleep(2 * time.Second)
		const span = 3
		// What heartbeats of all to all would be a second.
		all := len(c.all) * int(time.Second/fleet.DefaultConfig().HeartbeatInterval)
		before := map[*member]int{}
		for _, m := range c.all {
			before[m], _ = c.net.traffic(m.addr)
		}
		time.Sleep(span * time.Second)
		hubs := 0
		for _, m := range c.all {
			d := m.node.Dump()
			sent, _ := c.net.traffic(m.addr)
			if d.Hub {
				hubs++
				continue
			}
			g.Expect((sent-before[m])/span).To(BeNumerically("<", all/2), "datagrams a second")
			g.Expect(d.Members).To(HaveLen(len(c.all) - 1))
			g.Expect(m.feed.Fresh()).To(BeTrue())
		}
		g.Expect(hubs).To(BeNumerically(">=", 3))
		g.Expect(hubs).To(BeNumerically("<=", 5))
	})
}

// Every hub loses power at once. Requests are decided within the time after which a
// home counts as silent, twice, and some seconds later the routers that are left
// agree on new homes (4 s for 89 routers).
func TestHubsAreReplacedWhenAllAreLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		c := hubbed(t, &source{revision: 1, version: 1})
		c.knowsAll(g, 10*time.Second)
		time.Sleep(time.Second)
		var left []*member
		for _, m := range c.all {
			if m.node.Dump().Hub {
				m.stop()
				<-m.done
				continue
			}
			left = append(left, m)
		}
		began := time.Now()
		d, ticket, err := ask(left[0], 1)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(d.Verdict).To(Equal(dispatch.Send))
		g.Expect(time.Since(began)).To(BeNumerically("<", 300*time.Millisecond))
		left[0].node.Done("llm", ticket, dispatch.Served, time.Second)

		g.Eventually(func() int {
			homes := map[uint64]int{}
			for i, m := range left {
				_, ticket, err := ask(m, uint64(i))
				g.Expect(err).NotTo(HaveOccurred())
				m.node.Done("llm", ticket, dispatch.Served, time.Second)
				homes[home(m)]++
			}
			return len(homes)
		}, 20*time.Second, 500*time.Millisecond).Should(Equal(1))
		t.Logf("one home again after %v", time.Since(began))
	})
}
