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
	// outageDuration is how long the platform is unavailable.
	outageDuration = 4500 * time.Millisecond
	// maxFollowerCalls limits the calls to an unavailable platform by a router that reads it
	// only because its view has become old.
	maxFollowerCalls = 2
	// maxReaderCalls limits the calls of the two readers: one per 0.8 s each, and their first
	// ones, which follow each other faster.
	maxReaderCalls = 2 * 12
)

// Guards against hundreds of routers that all call an unavailable platform.
func TestOutageCostsFewCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		c := newCluster(t)
		c.configure = func(i int, cfg *fleet.Config) { cfg.Domain = fmt.Sprint("d", i%outageDomains) }
		s := &source{revision: 1, version: 1}
		c.start(outageRouters, s)
		time.Sleep(5 * time.Second)
		s.change(func() { s.unavailable = true })
		before := s.calls.Load()
		time.Sleep(outageDuration)
		s.change(func() { s.unavailable = false })
		s.publish()
		g.Expect(s.calls.Load() - before).To(BeNumerically("<=", maxFollowerCalls*outageRouters+maxReaderCalls))
		beforeReturn := s.calls.Load()
		for _, m := range c.all {
			g.Eventually(func() int64 { return m.feed.Snapshot().ConfigVersion() }, 2*time.Second, 10*time.Millisecond).Should(Equal(int64(2)))
			g.Eventually(m.feed.Fresh, 2*time.Second, 10*time.Millisecond).Should(BeTrue())
		}
		// Routers whose next retry is due at once may call before they receive the state.
		g.Expect(s.calls.Load() - beforeReturn).To(BeNumerically("<=", outageRouters/2+maxReaderCalls))
	})
}
