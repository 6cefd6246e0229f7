package fleet_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/aspenswitch/aspenswitch/fleet"
)

// startAtOnce starts n routers in six failure domains at the same time.
func startAtOnce(t *testing.T, n int, s *source) *cluster {
	c := newCluster(t)
	c.configure = func(i int, cfg *fleet.Config) { cfg.Domain = fmt.Sprint("d", i%6) }
	for i := range n {
		c.run(i, s)
	}
	return c
}

// Guards against a restart of the whole fleet in which each router lists all upstreams: the data
// that the platform sends would be the number of routers times that of upstreams.
func TestFewRoutersListThePlatformWhenAllStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		const routers = 36
		s := &source{revision: 1, version: 1}
		begun := time.Now()
		c := startAtOnce(t, routers, s)
		for _, m := range c.all {
			g.Eventually(m.feed.Snapshot, 10*time.Second, 10*time.Millisecond).ShouldNot(BeNil())
		}
		t.Logf("%d routers have a state after %v, %d listings", routers, time.Since(begun), s.lists.Load())
		g.Expect(time.Since(begun)).To(BeNumerically("<", 3*time.Second))
		g.Expect(s.lists.Load()).To(BeNumerically("<", routers/10))
	})
}

// Guards against routers that wait for peers none of which can read the platform.
func TestRoutersListForThemselvesIfNoPeerHasAState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		available, failing := &source{revision: 1, version: 1}, &source{revision: 1, version: 1}
		failing.change(func() { failing.unavailable = true })
		c := newCluster(t)
		for i := range 12 {
			s := failing
			if i == 11 {
				s = available
			}
			c.run(i, s)
		}
		for _, m := range c.all {
			g.Eventually(m.feed.Snapshot, 12*time.Second, 10*time.Millisecond).ShouldNot(BeNil())
		}
	})
}
