package fleet_test

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/aspenswitch/aspenswitch/fleet"
)

// A key that was taken away would be served for hours, by every router. One VM loses
// power and comes back at once: its boot clock begins anew, and peers still echo the
// time of a heartbeat from before. Taken for one of its own, that lies hours ahead and
// dates the view in the future, which the router then tells its peers. The platform
// falls silent just then: every router's right to serve must end as usual.
func TestRestartWithAnEarlierClockDatesNothingInTheFuture(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		const routers = 4
		s := &source{revision: 1, version: 1}
		c := newCluster(t)
		c.up = 3 * time.Hour
		c.shape = func(i int, cfg *fleet.Config) { cfg.RandomSeed = uint64(i+1) + uint64(c.up) }
		c.start(routers, s)
		time.Sleep(2 * time.Second)

		c.up = 0
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
		s.change(func() { s.away = true })
		time.Sleep(revoke)
		for _, m := range append(c.all[:1:1], c.all[routers:]...) {
			g.Expect(m.feed.Fresh()).To(BeFalse())
		}
	})
}
