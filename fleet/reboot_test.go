package fleet_test

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/aspenswitch/aspenswitch/fleet"
)

// Guards against revoked keys that all routers accept for hours. A VM that restarts after a power
// loss has a new boot clock, and peers still echo its earlier, larger times: the view would be
// dated hours ahead, also at its peers. If the platform becomes unavailable at that time, the
// authorization of every router must still expire as usual.
func TestRestartWithAnEarlierClockDatesNothingInTheFuture(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		const routers = 4
		s := &source{revision: 1, version: 1}
		c := newCluster(t)
		c.uptime = 3 * time.Hour
		c.configure = func(i int, cfg *fleet.Config) { cfg.RandomSeed = uint64(i+1) + uint64(c.uptime) }
		c.start(routers, s)
		time.Sleep(2 * time.Second)

		c.uptime = 0
		for i := 1; i < routers; i++ {
			old := c.all[i]
			old.stop()
			<-old.done
			c.run(i, s)
			time.Sleep(20 * time.Millisecond)
		}
		for range 100 {
			time.Sleep(10 * time.Millisecond)
			for i, m := range c.all {
				g.Expect(m.feed.Age()).To(BeNumerically(">=", 0), "router %d", i)
			}
		}
		s.change(func() { s.unavailable = true })
		time.Sleep(revokeTimeout)
		for _, m := range append(c.all[:1:1], c.all[routers:]...) {
			g.Expect(m.feed.Fresh()).To(BeFalse())
		}
	})
}
