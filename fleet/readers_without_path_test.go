package fleet_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/aspenswitch/aspenswitch/fleet"
)

// contact is the time after a disruption within which routers with a path to the platform must
// follow it.
const contact = 3 * time.Second

// configAfterOutages runs a fleet in which withPath routers, none of them a reader, keep their path
// to the platform through two outages, while the others lose theirs. It returns the time from the end
// of the second outage until a configuration that is published then is in force at all routers.
func configAfterOutages(t *testing.T, seed, routers, withPath int, outage time.Duration) time.Duration {
	g := NewWithT(t)
	c := newCluster(t)
	c.configure = func(i int, cfg *fleet.Config) {
		cfg.Domain, cfg.RandomSeed = fmt.Sprint("d", i%3), uint64(1000*seed+i+1)
	}
	var sources []*source
	for range routers {
		sources = append(sources, &source{revision: 1, version: 1})
	}
	c.start(routers, sources...)
	time.Sleep(5*time.Second + time.Duration(seed)*70*time.Millisecond)
	keepsPath := map[int]bool{}
	for i, m := range c.all {
		if !m.node.ReadsPlatform() && len(keepsPath) < withPath {
			keepsPath[i] = true
		}
	}
	for range 2 {
		for _, s := range sources {
			s.change(func() { s.unavailable = true })
		}
		time.Sleep(outage)
		for i := range keepsPath {
			sources[i].change(func() { sources[i].unavailable = false })
		}
		time.Sleep(500 * time.Millisecond)
	}
	ended := time.Now().Add(-500 * time.Millisecond)
	for _, s := range sources {
		s.publish()
	}
	for _, m := range c.all {
		g.Eventually(func() int64 { return m.feed.Snapshot().ConfigVersion() }, 20*time.Second, 10*time.Millisecond).Should(Equal(int64(2)))
	}
	return time.Since(ended)
}

// Guards against routers that wait for the state of readers which are alive and have no path to the
// platform, while their own path is whole.
func TestRoutersWithAPathReadInPlaceOfReadersWithoutOne(t *testing.T) {
	for _, size := range []struct{ routers, withPath, seeds int }{{3, 1, 4}, {24, 3, 1}} {
		for _, outage := range []time.Duration{300 * time.Millisecond, time.Second, 2 * time.Second} {
			t.Run(fmt.Sprintf("%d of %d routers, outages of %v", size.withPath, size.routers, outage), func(t *testing.T) {
				for seed := range size.seeds {
					synctest.Test(t, func(t *testing.T) {
						took := configAfterOutages(t, seed, size.routers, size.withPath, outage)
						t.Logf("seed %d: in force at all routers after %v", seed, took)
						NewWithT(t).Expect(took).To(BeNumerically("<=", contact))
					})
				}
			})
		}
	}
}
