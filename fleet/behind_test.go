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
		asked += g.State.Counts.Asked
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

// keepBusy takes the processor of a router away for most of the time until ctx
// ends: what comes in is handled in the short while between.
func keepBusy(ctx context.Context, n *fleet.Node, busy, free time.Duration) {
	for ctx.Err() == nil {
		n.Hold(busy)
		time.Sleep(busy + free)
	}
}

// A team's flood takes up the processor of one router. It reads the home's answers
// only after the time in which a home counts as silent. If the
// router then decided by itself, it would send the flood to engines of whose load
// and of whose teams' shares it knows nothing, past the fleet's max-min shares.
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
		answered := make(chan dispatch.Verdict, 100)
		const requests = 40
		for i := range requests {
			go func() {
				d, ticket, err := ask(behind, uint64(100+i))
				g.Expect(err).NotTo(HaveOccurred())
				behind.node.Done("llm", ticket, dispatch.Served, time.Second)
				answered <- d.Verdict
			}()
			time.Sleep(30 * time.Millisecond)
		}
		for range requests {
			<-answered
		}
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
		const requests = 40
		answered := make(chan dispatch.Verdict, requests)
		for i := range requests {
			go func() {
				d, ticket, err := ask(late, uint64(100+i))
				g.Expect(err).NotTo(HaveOccurred())
				late.node.Done("llm", ticket, dispatch.Served, time.Second)
				answered <- d.Verdict
			}()
			time.Sleep(10 * time.Millisecond)
		}
		for range requests {
			g.Expect(<-answered).To(Equal(dispatch.Send))
		}
		for _, m := range c.all {
			if m != home {
				g.Expect(decidedBy(m)).To(BeZero(), "decided beside the home")
			}
		}
	})
}

// The home is lost without a word. Routers with requests for it notice one by one.
// They all turn to the same successor: if each decided by itself, engines would get
// several times what they can do until heartbeats told of the loss.
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

// A router is cut off from all others. Its callers must not wait for one home
// after the other to be silent: it decides at once after the first.
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
