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

// Guards against routers that hold on to a reader of the platform that was killed: the time until
// it counts as silent grows with the fleet, and meanwhile each of its followers reads the platform
// for itself.
func TestLostReadersAreReplacedWithinTwoSeconds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		const routers, fleetSize = 24, 584
		s := &source{revision: 1, version: 1}
		c := newCluster(t)
		c.configure = func(i int, cfg *fleet.Config) {
			cfg.Domain = fmt.Sprint("d", i%6)
			// The heartbeat interval of the larger fleet.
			cfg.HeartbeatIntervalPerPeer *= fleetSize / routers
		}
		for i := range routers {
			c.run(i, s)
		}
		c.waitForMembers(g, 20*time.Second)
		time.Sleep(time.Minute) // until all agree on the readers
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
