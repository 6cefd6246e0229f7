package dispatch_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/aspenswitch/aspenswitch/dispatch"
)

// Guards against engines that look slower and slower because the router of some of their requests was lost,
// whose reports don't come.
func TestRequestsOfALostRouterDoNotHoldUpAnEngine(t *testing.T) {
	g := NewWithT(t)
	s := newSimulation(newCore(4))
	const lostRouter = 9
	lost := false
	s.unreported = func(t dispatch.Ticket) bool { return lost && t.Router == lostRouter }
	submit := func(from uint64) {
		for range 4 {
			s.submitFrom(from, "a", s.seq%20)
		}
	}
	for range 20 {
		submit(router)
		s.step(200 * time.Millisecond)
	}
	lost = true
	for range 3 {
		submit(lostRouter)
		s.step(50 * time.Millisecond)
	}
	served := s.served["a"]
	for range 10 {
		s.step(200 * time.Millisecond)
		submit(router)
	}
	s.step(200 * time.Millisecond)
	g.Expect(s.served["a"]-served).To(BeNumerically(">=", 36), "of 40 requests")
	g.Expect(s.c.State(s.now).Backlog).To(BeNumerically("<", s.prefillTime))
}

// Guards against slots of a plain service that stay taken by requests whose router was lost.
func TestRequestsOfALostRouterFreeTheirSlots(t *testing.T) {
	g := NewWithT(t)
	c := dispatch.New(dispatch.DefaultConfig(false))
	c.SetMembers(time.Second, []dispatch.Member{{Incarnation: incarnation("p0"), Slots: 4}})
	const lostRouter = 9
	now := 2 * time.Second
	submit := func(from, seq uint64) dispatch.Verdict {
		return c.Submit(now, dispatch.Request{
			Ticket: dispatch.Ticket{Router: from, Seq: seq}, Team: "a", Target: 150 * time.Millisecond, Timeout: 5 * time.Second,
		})[0].Verdict
	}
	for seq := range uint64(4) {
		g.Expect(submit(lostRouter, seq)).To(Equal(dispatch.Send))
	}
	now += time.Second
	c.Tick(now)
	for seq := range uint64(4) {
		g.Expect(submit(router, seq)).To(Equal(dispatch.Send))
	}
	for seq := range uint64(4) {
		c.Done(now, ticket(seq), dispatch.Served, 30*time.Millisecond)
	}
	// The late report of a router that was not lost after all counts once.
	c.Done(now, dispatch.Ticket{Router: lostRouter, Seq: 0}, dispatch.Served, time.Second)
	g.Expect(c.State(now).Running).To(BeZero())
}

// Guards against a slow plain service that gets more requests than it has slots.
func TestRequestsOfOtherRoutersKeepTheirSlots(t *testing.T) {
	g := NewWithT(t)
	c := dispatch.New(dispatch.DefaultConfig(false))
	c.SetMembers(time.Second, []dispatch.Member{{Incarnation: incarnation("p0"), Slots: 1}})
	r := dispatch.Request{Ticket: ticket(1), Team: "a", Target: 5 * time.Second, Timeout: 5 * time.Second}
	g.Expect(c.Submit(2*time.Second, r)[0].Verdict).To(Equal(dispatch.Send))
	for i := range uint64(20) {
		now := 2*time.Second + time.Duration(i+1)*50*time.Millisecond
		r.Ticket = ticket(2 + i)
		c.Submit(now, r)
		c.Tick(now)
		g.Expect(c.State(now).Running).To(Equal(1))
	}
}
