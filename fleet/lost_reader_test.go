package fleet_test

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/aspenswitch/aspenswitch/fleet"
)

// startLikeLargeFleet starts 24 routers with the heartbeat interval of a fleet of 584, and waits
// until all agree on the readers of the platform.
func startLikeLargeFleet(t *testing.T, g *WithT, s *source) *cluster {
	const routers, fleetSize = 24, 584
	c := newCluster(t)
	c.configure = func(i int, cfg *fleet.Config) {
		cfg.Domain, cfg.Hubs, cfg.HubsPerDomain = fmt.Sprint("d", i%2), 3, 1
		cfg.HeartbeatIntervalPerPeer *= fleetSize / routers
	}
	for i := range routers {
		c.run(i, s)
	}
	c.waitForMembers(g, 20*time.Second)
	time.Sleep(time.Minute)
	return c
}

// Guards against routers that hold on to a reader of the platform that was killed: the time until
// it counts as silent grows with the fleet, and meanwhile each of its followers reads the platform
// for itself.
func TestLostReadersAreReplacedWithinTwoSeconds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		c := startLikeLargeFleet(t, g, &source{revision: 1, version: 1})
		var remaining []*member
		for _, m := range c.all {
			if m.node.ReadsPlatform() {
				m.stop()
				<-m.done
				continue
			}
			remaining = append(remaining, m)
		}
		lost := time.Now()
		g.Eventually(func() bool {
			return slices.ContainsFunc(remaining, func(m *member) bool { return m.node.ReadsPlatform() })
		}, time.Minute, 20*time.Millisecond).Should(BeTrue())
		t.Logf("a new reader after %v", time.Since(lost))
		g.Expect(time.Since(lost)).To(BeNumerically("<=", 2*time.Second))
	})
}

// Guards against a router that leaves one source after the other, and reads the platform in vain,
// although it is itself that is cut off, reads late or was paused.
func TestRouterThatHearsNothingKeepsItsSource(t *testing.T) {
	for name, hurt := range map[string]func(c *cluster, m *member){
		"cut off":    func(c *cluster, m *member) { c.net.isolate(m.addr) },
		"reads late": func(c *cluster, m *member) { c.net.setReadDelay(m.addr, 1500*time.Millisecond) },
		"paused":     func(_ *cluster, m *member) { m.node.BlockControl(3 * time.Second) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				c := startLikeLargeFleet(t, g, &source{revision: 1, version: 1})
				i := slices.IndexFunc(c.all, func(m *member) bool { return !m.node.ReadsPlatform() })
				hurt(c, c.all[i])
				g.Consistently(c.all[i].node.ReadsPlatform, 10*time.Second, 50*time.Millisecond).Should(BeFalse())
			})
		})
	}
}
