package dispatch_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/aspenswitch/aspenswitch/dispatch"
)

// probedEngines returns warm engines to which two requests may be sent between two probes.
func probedEngines(n int) []dispatch.Member {
	members := warmingEngines(n, 0)
	for i := range members {
		members[i].RequestsPerProbe = 2
	}
	return members
}

// newProbedCore returns a core that must probe its engines.
func newProbedCore(now time.Duration, members []dispatch.Member) *dispatch.Core {
	c := dispatch.New(dispatch.DefaultConfig(true))
	c.SetMembers(now, members)
	c.GrantWarmUp(true)
	c.RequireProbes(true)
	return c
}

// shortRequest returns a request whose prompt takes little time.
func shortRequest(seq uint64) dispatch.Request {
	r := request(seq, "a", 1000+seq)
	r.Prompt, r.Parts = 100, nil
	return r
}

// Guards against requests to an engine that may have turned cold since it answered a probe, and
// against refusing requests that only have to wait for the next answer.
func TestRequestsWaitForTheProbeOfAnEngine(t *testing.T) {
	g := NewWithT(t)
	now := 2 * time.Second
	c := newProbedCore(now, probedEngines(1))
	g.Expect(c.ProbesDue(now)).To(BeEmpty(), "before the first request")
	g.Expect(c.Submit(now, shortRequest(1))[0].Verdict).To(Equal(dispatch.Send))
	g.Expect(c.ProbesDue(now)).To(Equal([]dispatch.Incarnation{incarnation("e0")}))
	g.Expect(c.ProbesDue(now)).To(BeEmpty(), "while it is in progress")
	g.Expect(c.Submit(now, shortRequest(2))[0].Verdict).To(Equal(dispatch.Send))
	g.Expect(c.Submit(now, shortRequest(3))[0].Verdict).To(Equal(dispatch.Wait))
	c.Done(now, ticket(1), dispatch.Served, time.Millisecond)
	g.Expect(c.Tick(now)).To(BeEmpty())
	sent := c.SetWarm(now, incarnation("e0"))
	g.Expect(sent).To(HaveLen(1))
	g.Expect(sent[0].Verdict).To(Equal(dispatch.Send))
}

// Guards against requests that go on waiting for an engine whose probe has no answer.
func TestRequestsLeaveAnEngineThatDoesNotAnswerAProbe(t *testing.T) {
	g := NewWithT(t)
	now := 2 * time.Second
	c := newProbedCore(now, probedEngines(1))
	for seq := range uint64(3) {
		c.Submit(now, shortRequest(seq))
	}
	g.Expect(c.ProbesDue(now)).To(HaveLen(1))
	g.Expect(c.State(now).Waiting).To(Equal(1))
	c.SetMembers(now, probedEngines(2))
	moved := c.ProbeFailed(now, incarnation("e0"))
	g.Expect(moved).To(HaveLen(1))
	g.Expect(moved[0].Upstream).To(Equal("e1"))
}

// Guards against full use of an engine that answers no probe.
func TestEngineThatAnswersNoProbeGetsItsWarmUpRate(t *testing.T) {
	g := NewWithT(t)
	now, seq := 2*time.Second, uint64(0)
	c := newProbedCore(now, probedEngines(1))
	sends := 0
	for range 10 {
		sends += len(sendTimes(c, &now, 100*time.Millisecond, &seq))
		for _, at := range c.ProbesDue(now) {
			c.ProbeFailed(now, at)
		}
	}
	g.Expect(sends).To(BeNumerically("<=", 2+6), "the two before the first probe, and six in a second")
	g.Expect(sends).To(BeNumerically(">", 2))
}

// Guards against a plain service whose upstream takes over requests that wait for others although
// it has to answer a probe first.
func TestUpstreamThatAwaitsAProbeTakesOverNoRequests(t *testing.T) {
	g := NewWithT(t)
	now := 2 * time.Second
	c := dispatch.New(dispatch.DefaultConfig(false))
	members := probedEngines(2)
	members[0].Slots, members[1].Slots = 1, 1
	c.SetMembers(now, members)
	c.RequireProbes(true)
	sentTo := map[string]int{}
	count := func(ds []dispatch.Decision) {
		for _, d := range ds {
			if d.Verdict == dispatch.Send {
				sentTo[d.Upstream]++
			}
		}
	}
	for seq := range uint64(20) {
		count(c.Submit(now, shortRequest(seq)))
	}
	for seq := range uint64(20) {
		count(c.Done(now, ticket(seq), dispatch.Served, time.Millisecond))
	}
	g.Expect(sentTo).To(Equal(map[string]int{"e0": 2, "e1": 2}))
}
