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
