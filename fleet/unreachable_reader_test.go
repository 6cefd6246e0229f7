package fleet_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/aspenswitch/aspenswitch/feed"
	"github.com/aspenswitch/aspenswitch/fleet"
)

// maxFollowerAge is the state age that no router reaches while readers can read the platform.
var maxFollowerAge = feed.DefaultConfig(revokeTimeout, revokeTimeout).MaxFollowerAge

// oldestState returns the largest age of the state at any router.
func (c *cluster) oldestState() time.Duration {
	var oldest time.Duration
	for _, m := range c.all {
		oldest = max(oldest, m.feed.Age())
	}
	return oldest
}

// Guards against a router that leads its failure domain although the platform answers its peers
// only. Their states would become old again and again while it calls the platform in vain.
func TestReaderThatThePlatformDoesNotAnswerIsReplaced(t *testing.T) {
	for unanswered := range 3 {
		t.Run(fmt.Sprint("router ", unanswered), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				available, failing := &source{revision: 1, version: 1}, &source{revision: 1, version: 1}
				failing.change(func() { failing.unavailable = true })
				sources := []*source{available, available, available}
				sources[unanswered] = failing
				c := startCluster(t, 3, sources...)
				g.Consistently(c.oldestState, 30*time.Second, 20*time.Millisecond).Should(BeNumerically("<", maxFollowerAge))
			})
		})
	}
}

// Guards against routers that stop serving because the platform stops answering a part of the
// routers, the readers among them.
func TestRoutersServeWhileThePlatformTurnsHalfOfThemAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		const routers, domains = 24, 4
		c := newCluster(t)
		c.configure = func(i int, cfg *fleet.Config) { cfg.Domain = fmt.Sprint("d", i%domains) }
		sources := make([]*source, routers)
		for i := range routers {
			sources[i] = &source{revision: 1, version: 1}
			c.run(i, sources[i])
		}
		c.waitForMembers(g, 20*time.Second)
		time.Sleep(5 * time.Second)
		turnedAway := 0
		for i, m := range c.all {
			if m.node.ReadsPlatform() || turnedAway < routers/2 {
				turnedAway++
				sources[i].change(func() { sources[i].unavailable = true })
			}
		}
		g.Consistently(func() bool {
			for _, m := range c.all {
				if !m.feed.Fresh() {
					return false
				}
			}
			return true
		}, 5*time.Second, 20*time.Millisecond).Should(BeTrue())
		g.Consistently(c.oldestState, 30*time.Second, 20*time.Millisecond).Should(BeNumerically("<", maxFollowerAge))
	})
}

// Guards against a fleet that keeps more readers than it needs after the platform answers all
// routers again.
func TestReaderReturnsWhenThePlatformAnswersItAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		available, failing := &source{revision: 1, version: 1}, &source{revision: 1, version: 1}
		failing.change(func() { failing.unavailable = true })
		c := startCluster(t, 3, available, failing, available)
		readers := func() (all []int) {
			for i, m := range c.all {
				if m.node.ReadsPlatform() {
					all = append(all, i)
				}
			}
			return all
		}
		g.Eventually(readers, 10*time.Second, 20*time.Millisecond).Should(HaveLen(2))
		failing.change(func() { failing.unavailable = false })
		g.Eventually(readers, 2*time.Second, 20*time.Millisecond).Should(Equal([]int{1}))
		g.Consistently(readers, 10*time.Second, 20*time.Millisecond).Should(Equal([]int{1}))
	})
}
