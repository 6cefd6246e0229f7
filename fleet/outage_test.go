package fleet_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/aspenswitch/aspenswitch/fleet"
)

const (
	// outageRouters are in outageDomains failure domains.
	outageRouters, outageDomains = 24, 4
	// outageFor is how long the platform is away.
	outageFor = 4500 * time.Millisecond
	// callsOfFollower is how often a router that reads by itself only because its view has
	// grown old may ask a platform that is away.
	callsOfFollower = 2
	// callsOfReaders is room for the two routers whose duty it is to read: one call in 0.8 s
	// each, and their quicker first ones.
	callsOfReaders = 2 * 12
)

// Guards against hundreds of routers that all ask a platform that is away.
func TestOutageCostsFewCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		c := newCluster(t)
		c.shape = func(i int, cfg *fleet.Config) { cfg.Domain = fmt.Sprint("d", i%outageDomains) }
		s := &source{revision: 1, version: 1}
		c.start(outageRouters, s)
		time.Sleep(5 * time.Second)
		s.change(func() { s.away = true })
		before := s.calls.Load()
		time.Sleep(outageFor)
		s.change(func() { s.away = false })
		s.publish()
		g.Expect(s.calls.Load() - before).To(BeNumerically("<=", callsOfFollower*outageRouters+callsOfReaders))
		returned := s.calls.Load()
		for _, m := range c.all {
			g.Eventually(func() int64 { return m.feed.Snapshot().ConfigVersion() }, 2*time.Second, 10*time.Millisecond).Should(Equal(int64(2)))
			g.Eventually(m.feed.Fresh, 2*time.Second, 10*time.Millisecond).Should(BeTrue())
		}
		// Those whose next try falls into the first moments need not wait for their peers.
		g.Expect(s.calls.Load() - returned).To(BeNumerically("<=", outageRouters/2+callsOfReaders))
	})
}
