package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/aspenswitch/aspenswitch/dispatch"
)

// newReportedCore returns a core of n upstreams that uses load reports.
func newReportedCore(engine bool, n int) *dispatch.Core {
	cfg := dispatch.DefaultConfig(engine)
	cfg.LoadReports = true
	c := dispatch.New(cfg)
	c.SetMembers(time.Second, engines(n))
	return c
}

// slowedDown returns the report of an upstream that runs one request.
func slowedDown(slowdown float64) dispatch.LoadReport {
	return dispatch.LoadReport{Running: 1, Slots: 64, Slowdown: slowdown}
}

// chosen returns the upstream that a new request is sent to, and ends the request at once.
func chosen(c *dispatch.Core, now time.Duration, seq uint64) dispatch.Decision {
	d := c.Submit(now, request(seq, "a", 1000+seq))[0]
	c.Done(now, d.Ticket, dispatch.NotSent, 0)
	return d
}

// Guards against sending requests to an upstream that has said that it is slow at present, and against
// leaving it out for good.
func TestSlowUpstreamGetsNoRequestsUntilItsReportHasFaded(t *testing.T) {
	for _, engine := range []bool{true, false} {
		g := NewWithT(t)
		c := newReportedCore(engine, 2)
		now := 2 * time.Second
		first := chosen(c, now, 1)
		c.ObserveLoad(now, incarnation(first.Upstream), slowedDown(2.5))
		g.Expect(chosen(c, now, 2).Upstream).NotTo(Equal(first.Upstream))
		g.Expect(chosen(c, now+200*time.Millisecond, 3).Upstream).NotTo(Equal(first.Upstream))
		sent := 0
		for seq := range uint64(4) {
			if d := c.Submit(now+3*time.Second, request(100+seq, "a", 2000+seq))[0]; d.Upstream == first.Upstream {
				sent++
			}
		}
		g.Expect(sent).To(BeNumerically(">", 0), fmt.Sprint("engine ", engine))
	}
}

// Guards against predictions that don't follow the stated speed, for new prompts and for those sent before.
func TestPredictionsFollowTheStatedSpeed(t *testing.T) {
	g := NewWithT(t)
	c := newReportedCore(true, 1)
	now := 2 * time.Second
	usual := chosen(c, now, 1).PredictedFirstByte
	c.Submit(now, request(2, "a", 2))
	backlog := c.State(now).Backlog
	c.ObserveLoad(now, incarnation("e0"), slowedDown(2.5))
	g.Expect(c.State(now).Backlog).To(BeNumerically("~", 5*backlog/2, time.Millisecond))
	c.ObserveLoad(now+time.Microsecond, incarnation("e0"), slowedDown(1))
	g.Expect(c.State(now).Backlog).To(BeNumerically("~", backlog, time.Millisecond))
	c.Done(now, ticket(2), dispatch.NotSent, 0)
	c.ObserveLoad(now+2*time.Microsecond, incarnation("e0"), slowedDown(2.5))
	g.Expect(chosen(c, now, 3).PredictedFirstByte).To(BeNumerically("~", 5*usual/2, time.Millisecond))
}
