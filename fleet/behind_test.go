package fleet_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/aspenswitch/aspenswitch/dispatch"
	"github.com/aspenswitch/aspenswitch/fleet"
)

// decisionsBy returns the number of requests that a router has decided on, for itself or others.
func decisionsBy(m *member) int {
	decisions := 0
	for _, g := range m.node.Dump().Groups {
		decisions += g.State.Counts.Submitted
	}
	return decisions
}

// homeAndOther returns the home of the service and a router that isn't it.
func homeAndOther(g *WithT, all []*member) (home, other *member) {
	_, _, err := requestPlacement(all[0], 1)
	g.Expect(err).NotTo(HaveOccurred())
	for _, m := range all {
		if decisionsBy(m) > 0 {
			home = m
		} else {
			other = m
		}
	}
	g.Expect(home).NotTo(BeNil())
	return home, other
}

// requestPlacements sends placement requests at intervals of gap and returns their verdicts.
func requestPlacements(g *WithT, m *member, requests int, gap time.Duration) []dispatch.Verdict {
	answered := make(chan dispatch.Verdict, requests)
	for i := range requests {
		go func() {
			d, ticket, err := requestPlacement(m, uint64(100+i))
			g.Expect(err).NotTo(HaveOccurred())
			m.node.Done("llm", ticket, dispatch.Served, time.Second)
			answered <- d.Verdict
		}()
		time.Sleep(gap)
	}
	var verdicts []dispatch.Verdict
	for range requests {
		verdicts = append(verdicts, <-answered)
	}
	return verdicts
}

// keepBusy blocks the control goroutine of a router repeatedly until ctx is done. Events are
// handled only in the time free between.
func keepBusy(ctx context.Context, n *fleet.Node, busy, free time.Duration) {
	for ctx.Err() == nil {
		n.BlockControl(busy)
		time.Sleep(busy + free)
	}
}

// Guards against a router with a high lag that decides by itself, without regard to its home
// and the teams' shares.
func TestRouterThatIsBehindDoesNotDecideByItself(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		c := startCluster(t, 4, &source{revision: 1, version: 1})
		home, late := homeAndOther(g, c.all)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		c.net.setReadDelay(late.addr, 150*time.Millisecond)
		go keepBusy(ctx, late.node, 60*time.Millisecond, 10*time.Millisecond)
		before := decisionsBy(home)
		const requests = 40
		requestPlacements(g, late, requests, 30*time.Millisecond)
		cancel()
		time.Sleep(time.Second)
		g.Expect(decisionsBy(late)).To(BeZero(), "decided without the home")
		g.Expect(decisionsBy(home) - before).To(BeNumerically(">=", requests*3/4))
	})
}

// Guards against asking a second home while the replies of the first one haven't been read yet.
func TestRouterThatReadsLateKeepsItsHome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		c := startCluster(t, 4, &source{revision: 1, version: 1})
		home, late := homeAndOther(g, c.all)
		c.net.setReadDelay(late.addr, 150*time.Millisecond)
		for _, verdict := range requestPlacements(g, late, 40, 10*time.Millisecond) {
			g.Expect(verdict).To(Equal(dispatch.Send))
		}
		for _, m := range c.all {
			if m != home {
				g.Expect(decisionsBy(m)).To(BeZero(), "decided in addition to the home")
			}
		}
	})
}

// Guards against several routers that decide on the same upstreams after their home is lost.
func TestSuccessorOfASilentHomeDecides(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		c := startCluster(t, 6, &source{revision: 1, version: 1})
		home, _ := homeAndOther(g, c.all)
		c.net.isolate(home.addr)
		for i, m := range c.all {
			if m == home {
				continue
			}
			d, _, err := requestPlacement(m, uint64(10+i))
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(d.Verdict).To(Equal(dispatch.Send))
		}
		deciders := 0
		for _, m := range c.all {
			if m != home && decisionsBy(m) > 0 {
				deciders++
			}
		}
		g.Expect(deciders).To(Equal(1))
	})
}

// Guards against requests at an isolated router that wait for one home after the other.
func TestIsolatedRouterDecidesByItself(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		c := startCluster(t, 6, &source{revision: 1, version: 1})
		_, isolated := homeAndOther(g, c.all)
		c.net.isolate(isolated.addr)
		time.Sleep(500 * time.Millisecond)
		began := time.Now()
		d, _, err := requestPlacement(isolated, 10)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(d.Verdict).To(Equal(dispatch.Send))
		g.Expect(time.Since(began)).To(BeNumerically("<", 150*time.Millisecond))
		g.Expect(decisionsBy(isolated)).To(Equal(1))
	})
}
