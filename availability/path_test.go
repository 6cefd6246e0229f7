package availability_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/aspenswitch/aspenswitch/availability"
)

// Guards against requests that wait for one upstream after the other at a router without a path to
// any of them, and against a router that never tries again.
func TestRouterWithoutAPathSendsProbesOnly(t *testing.T) {
	g := NewWithT(t)
	p := availability.NewPath()
	now := time.Minute
	for i := range 3 {
		g.Expect(p.Lost(now)).To(BeFalse())
		p.RecordSilent(now-400*time.Millisecond, fmt.Sprint("u", i))
	}
	g.Expect(p.Lost(now)).To(BeTrue())
	sent := 0
	for end := now + 2*time.Second; now < end; now += 10 * time.Millisecond {
		if p.MaySend(now) {
			sent++
			p.RecordSilent(now, "u0")
		}
	}
	g.Expect(sent).To(BeNumerically("<=", 10))
	g.Expect(sent).To(BeNumerically(">", 0))
	p.RecordReached(now)
	g.Expect(p.MaySend(now)).To(BeTrue())
	g.Expect(p.Lost(now)).To(BeFalse())
}

// Guards against refusing requests because a few upstreams are down, or were at other times.
func TestPathIsNotLostWhileAnyUpstreamAnswers(t *testing.T) {
	g := NewWithT(t)
	p := availability.NewPath()
	now := time.Minute
	for range 10 {
		now += 100 * time.Millisecond
		p.RecordSilent(now, "u1")
		p.RecordSilent(now, "u2")
	}
	g.Expect(p.Lost(now)).To(BeFalse(), "two upstreams")
	p.RecordReached(now)
	for i := range 5 {
		p.RecordSilent(now-300*time.Millisecond, fmt.Sprint("u", i))
	}
	g.Expect(p.Lost(now)).To(BeFalse(), "another one has answered since these attempts began")
	for i := range 5 {
		now += 2 * time.Second
		p.RecordSilent(now, fmt.Sprint("u", i))
	}
	g.Expect(p.Lost(now)).To(BeFalse(), "at other times")
}
