package dispatch_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/aspenswitch/aspenswitch/dispatch"
)

// warmingEngines returns engines with a warm-up, the first of which is warming up until a
// given time.
func warmingEngines(n int, until time.Duration) []dispatch.Member {
	members := engines(n)
	for i := range members {
		members[i].WarmUpDuration, members[i].WarmUpRate = 3*time.Second, 6
	}
	members[0].WarmUntil = until
	return members
}

// sendTimes submits a short request every 5 ms and returns when requests were sent to the
// first engine.
func sendTimes(c *dispatch.Core, now *time.Duration, span time.Duration, seq *uint64) (sends []time.Duration) {
	for end := *now + span; *now < end; *now += 5 * time.Millisecond {
		*seq++
		r := request(*seq, "a", 1000+*seq)
		r.Prompt, r.Parts = 100, nil
		for _, d := range c.Submit(*now, r) {
			if d.Verdict == dispatch.Send && d.Upstream == "e0" {
				sends = append(sends, *now)
			}
		}
		c.Started(*now+time.Millisecond, ticket(*seq))
		c.Done(*now+2*time.Millisecond, ticket(*seq), dispatch.Served, 2*time.Millisecond)
	}
	return sends
}

// Guards against a second of granted requests on top of a second of usual load when an
// engine turns cold.
func TestWarmUpBoundCountsTheSecondBeforeAnEngineTurnsCold(t *testing.T) {
	g := NewWithT(t)
	c := dispatch.New(dispatch.DefaultConfig(true))
	now, seq := 2*time.Second, uint64(0)
	c.SetMembers(now, warmingEngines(1, 0))
	c.GrantWarmUp(true)
	g.Expect(sendTimes(c, &now, 2*time.Second, &seq)).NotTo(BeEmpty())
	turned := now
	c.SetMembers(now, warmingEngines(1, now+3*time.Second))
	sends := sendTimes(c, &now, 2*time.Second, &seq)
	g.Expect(sends).NotTo(BeEmpty())
	g.Expect(sends[0] - turned).To(BeNumerically(">=", 900*time.Millisecond))
}

// Guards against requests to a warming engine from a router that is not its home.
func TestWarmingEngineWithoutGrantIsRefusedAtOnce(t *testing.T) {
	g := NewWithT(t)
	c := dispatch.New(dispatch.DefaultConfig(true))
	now := 2 * time.Second
	c.SetMembers(now, warmingEngines(1, now+2500*time.Millisecond))
	d := c.Submit(now, request(1, "a", 5))
	g.Expect(d).To(HaveLen(1))
	g.Expect(d[0].Verdict).To(Equal(dispatch.Refuse))
	g.Expect(d[0].RetryAfter).To(BeNumerically(">", 2*time.Second), "when the engine is warm")
	g.Expect(d[0].Details.Warming).To(Equal(1))
	c.SetMembers(now, warmingEngines(2, now+2500*time.Millisecond))
	g.Expect(c.Submit(now, request(2, "a", 5))[0].Upstream).To(Equal("e1"))
}

// Guards against a burst of requests to an engine that restarted while it was unreachable.
func TestUnreachableEngineIsPresumedCold(t *testing.T) {
	g := NewWithT(t)
	c := dispatch.New(dispatch.DefaultConfig(true))
	now, seq := 2*time.Second, uint64(0)
	c.SetMembers(now, warmingEngines(1, 0))
	c.GrantWarmUp(true)
	seq++
	g.Expect(c.Submit(now, request(seq, "a", 5))[0].Verdict).To(Equal(dispatch.Send))
	c.Done(now, ticket(seq), dispatch.Unreachable, 0)
	now += time.Second
	sends := sendTimes(c, &now, time.Second, &seq)
	g.Expect(len(sends)).To(BeNumerically("<=", 7))
	g.Expect(sends).NotTo(BeEmpty())
}
