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

// startHubFleet starts a fleet with several times as many routers as hubs, in two failure
// domains with three strong VMs each.
func startHubFleet(t *testing.T, s *source) *cluster {
	const routers, domains, strongPerDomain = 18, 2, 3
	c := newCluster(t)
	c.configure = func(i int, cfg *fleet.Config) {
		cfg.Hubs, cfg.HubsPerDomain = 3, 1
		cfg.Domain, cfg.Weight = fmt.Sprint("d", i%domains), 0.19
		if i < domains*strongPerDomain {
			cfg.Weight = 0.8
		}
	}
	for i := range routers {
		c.run(i, s)
	}
	return c
}

// waitForMembers waits until every router has all others as members.
func (c *cluster) waitForMembers(g *WithT, within time.Duration) {
	for _, m := range c.all {
		g.Eventually(func() int { return len(m.node.Dump().Members) }, within, 500*time.Millisecond).Should(Equal(len(c.all) - 1))
	}
}

// Guards against heartbeats between all routers, which would use a twentieth of a small VM's
// processor. A router that isn't a hub must send less than half as many, but still have all
// others as members and a fresh view of the platform.
func TestHeartbeatsDoNotGrowWithTheSquareOfTheFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		c := startHubFleet(t, &source{revision: 1, version: 1})
		c.waitForMembers(g, 10*time.Second)
		time.Sleep(2 * time.Second)
		const span = 3
		// Heartbeats per second and router if all exchanged frequent ones.
		fullMesh := len(c.all) * int(time.Second/fleet.DefaultConfig().HeartbeatInterval)
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
			g.Expect((sent-before[m])/span).To(BeNumerically("<", fullMesh/2), "datagrams a second")
			g.Expect(d.Members).To(HaveLen(len(c.all) - 1))
			g.Expect(m.feed.Fresh()).To(BeTrue())
		}
		g.Expect(hubs).To(BeNumerically(">=", 3))
		g.Expect(hubs).To(BeNumerically("<=", 5))
	})
}

// Guards against requests that wait when all hubs lose power at once. They are decided after
// about two placement timeouts (200 ms), for which the test allows 300 ms, and the remaining
// routers must agree on new homes some seconds later (4 s with 89 routers).
func TestHubsAreReplacedWhenAllAreLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		c := startHubFleet(t, &source{revision: 1, version: 1})
		c.waitForMembers(g, 10*time.Second)
		time.Sleep(time.Second)
		var remaining []*member
		for _, m := range c.all {
			if m.node.Dump().Hub {
				m.stop()
				<-m.done
				continue
			}
			remaining = append(remaining, m)
		}
		began := time.Now()
		d, ticket, err := requestPlacement(remaining[0], 1)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(d.Verdict).To(Equal(dispatch.Send))
		g.Expect(time.Since(began)).To(BeNumerically("<", 300*time.Millisecond))
		remaining[0].node.Done("llm", ticket, dispatch.Served, time.Second)

		g.Eventually(func() int {
			homes := map[uint64]int{}
			for i, m := range remaining {
				_, ticket, err := requestPlacement(m, uint64(i))
				g.Expect(err).NotTo(HaveOccurred())
				m.node.Done("llm", ticket, dispatch.Served, time.Second)
				homes[home(m)]++
			}
			return len(homes)
		}, 20*time.Second, 500*time.Millisecond).Should(Equal(1))
		t.Logf("routers agreed on one home after %v", time.Since(began))
	})
}
