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

// decidedBy is how many requests a router has decided on, for itself or others.
func decidedBy(m *member) int {
	asked := 0
	for _, g := range m.node.Dump().Groups {
		asked += g.State.Counts.Submitted
	}
	return asked
}

// homeAndOther returns the home of the service and a router that isn't it.
func homeAndOther(g *WithT, all []*member) (home, other *member) {
	_, _, err := ask(all[0], 1)
	g.Expect(err).NotTo(HaveOccurred())
	for _, m := range all {
		if decidedBy(m) > 0 {
			home = m
		} else {
			other = m
		}
	}
	g.Expect(home).NotTo(BeNil())
	return home, other
}

// askMany asks for requests one after the other, each a while after the one before, and
// returns what was decided.
func askMany(g *WithT, m *member, requests int, gap time.Duration) []dispatch.Verdict {
	answered := make(chan dispatch.Verdict, requests)
	for i := range requests {
		go func() {
			d, ticket, err := ask(m, uint64(100+i))
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

// keepBusy takes the processor of a router away for most of the time until ctx
// ends: what comes in is handled in the short while between.
func keepBusy(ctx context.Context, n *fleet.Node, busy, free time.Duration) {
	for ctx.Err() == nil {
		n.Hold(busy)
		time.Sleep(busy + free)
	}
}

// Guards against a late router that decides past its home and the teams' shares.
func TestRouterThatIsBehindDoesNotDecideByItself(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		c := startCluster(t, 4, &source{revision: 1, version: 1})
		home, behind := homeAndOther(g, c.all)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		c.net.readLate(behind.addr, 150*time.Millisecond)
		go keepBusy(ctx, behind.node, 60*time.Millisecond, 10*time.Millisecond)
		before := decidedBy(home)
		const requests = 40
		askMany(g, behind, requests, 30*time.Millisecond)
		cancel()
		time.Sleep(time.Second)
		g.Expect(decidedBy(behind)).To(BeZero(), "decided without the home")
		g.Expect(decidedBy(home) - before).To(BeNumerically(">=", requests*3/4))
	})
}

// Guards against a second home beside one whose answers a router hasn't read yet.
func TestRouterThatReadsLateKeepsItsHome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		c := startCluster(t, 4, &source{revision: 1, version: 1})
		home, late := homeAndOther(g, c.all)
		c.net.readLate(late.addr, 150*time.Millisecond)
		for _, verdict := range askMany(g, late, 40, 10*time.Millisecond) {
			g.Expect(verdict).To(Equal(dispatch.Send))
		}
		for _, m := range c.all {
			if m != home {
				g.Expect(decidedBy(m)).To(BeZero(), "decided beside the home")
			}
		}
	})
}

// Guards against several routers that decide for the upstreams of a lost home.
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
			d, _, err := ask(m, uint64(10+i))
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(d.Verdict).To(Equal(dispatch.Send))
		}
		deciders := 0
		for _, m := range c.all {
			if m != home && decidedBy(m) > 0 {
				deciders++
			}
		}
		g.Expect(deciders).To(Equal(1))
	})
}

// Guards against callers of a router that is cut off who wait for one home after the other.
func TestIsolatedRouterDecidesByItself(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		c := startCluster(t, 6, &source{revision: 1, version: 1})
		_, alone := homeAndOther(g, c.all)
		c.net.isolate(alone.addr)
		time.Sleep(500 * time.Millisecond)
		began := time.Now()
		d, _, err := ask(alone, 10)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(d.Verdict).To(Equal(dispatch.Send))
		g.Expect(time.Since(began)).To(BeNumerically("<", 150*time.Millisecond))
		g.Expect(decidedBy(alone)).To(Equal(1))
	})
}
