package dispatch_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/aspenswitch/aspenswitch/dispatch"
)

// copyWork is the time to copy the session's part of requestIn, in units of the work that one
// request pays for.
func copyWork(members []dispatch.Member) float64 {
	return float64(6000*members[0].CopyPerToken) / float64(dispatch.DefaultConfig(true).DistanceWork)
}

// submitIdle submits a request to a core without load and ends it.
func submitIdle(c *dispatch.Core, now time.Duration, r dispatch.Request) dispatch.Decision {
	d := c.Submit(now, r)[0]
	c.Started(now+100*time.Millisecond, r.Ticket)
	c.Done(now+100*time.Millisecond, r.Ticket, dispatch.Served, 100*time.Millisecond)
	return d
}

// Guards against a session that is served in another domain for ever although its domain requests
// it often, and against copies for domains that don't.
func TestDomainThatRequestsASessionOftenGetsACopy(t *testing.T) {
	for name, c := range map[string]struct {
		interval time.Duration
		copied   bool
	}{
		"often":  {time.Second, true},
		"seldom": {30 * time.Second, false},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			core := newLocalCore(2, "a", "b")
			core.SeedCache(incarnation("e0"), []dispatch.Part{{ID: 5, Tokens: 6000}})
			now := 2 * time.Second
			var upstreams []string
			for seq := range uint64(8) {
				now += c.interval
				upstreams = append(upstreams, submitIdle(core, now, requestIn("b", seq, 5)).Upstream)
			}
			g.Expect(upstreams[0]).To(Equal("e0"))
			if c.copied {
				g.Expect(upstreams[5:]).To(HaveEach("e1"))
			} else {
				g.Expect(upstreams).To(HaveEach("e0"))
			}
			g.Expect(core.State(now).Counts.CopiedForDomain > 0).To(Equal(c.copied))
		})
	}
}

// Guards against copies that are evicted and made again with each request: copies cost no more than
// the requests pay for.
func TestEvictedCopiesDontRecurWithEachRequest(t *testing.T) {
	g := NewWithT(t)
	members := domainEngines(2, "a", "b")
	members[1].Started = 1
	core := newLocalCore(2, "a", "b")
	core.SetMembers(time.Second, members)
	core.SeedCache(incarnation("e0"), []dispatch.Part{{ID: 5, Tokens: 6000}})
	now := 2 * time.Second
	copies, requests := 0, uint64(60)
	for seq := range requests {
		now += 500 * time.Millisecond
		if submitIdle(core, now, requestIn("b", seq, 5)).CopyFrom != "" {
			copies++
			members[1].Started++ // a restarted engine has no cache
			core.SetMembers(now+200*time.Millisecond, members)
		}
	}
	g.Expect(copies).To(BeNumerically(">", 1))
	g.Expect(float64(copies) * copyWork(members)).To(BeNumerically("<=", float64(requests)))
}

// Guards against a domain that copies all of its sessions at the same moment when it returns, and
// against requests that wait for it while it is lost.
func TestReturningDomainCopiesItsSessionsByAndBy(t *testing.T) {
	g := NewWithT(t)
	const sessions, perDomain, interval, copyTime = 200, 4, 500 * time.Microsecond, 2000 * 4767 * time.Nanosecond
	members := domainEngines(2*perDomain, "a", "b")
	lost := make([]dispatch.Member, 0, perDomain)
	core := newLocalCore(2*perDomain, "a", "b")
	for i, m := range members {
		if m.Domain == "a" {
			lost = append(lost, m)
			for session := range uint64(sessions / perDomain) {
				core.SeedCache(m.Incarnation, []dispatch.Part{{ID: uint64(i/2)*sessions/perDomain + session + 1, Tokens: 2000}})
			}
		}
	}
	now, seq := 2*time.Second, uint64(0)
	// round submits a request for each session and returns the number of copies.
	round := func(interval time.Duration) (copies int) {
		for session := range uint64(sessions) {
			now += interval
			seq++
			r := requestIn("b", seq, session+1)
			r.Prompt, r.Parts[0].Tokens, r.Parts[1].Tokens = 2100, 2000, 100
			d := submitIdle(core, now, r)
			g.Expect(d.Verdict).To(Equal(dispatch.Send))
			if d.CopyFrom != "" {
				copies++
			}
		}
		return copies
	}
	core.SetMembers(now, lost)
	round(5 * time.Millisecond)
	core.SetMembers(now, members)
	// A tenth of the engines' time within a second, and what they may take during the round.
	const maxCopies = perDomain * (time.Second + sessions*interval) / 10 / copyTime
	g.Expect(round(interval)).To(BeNumerically("<=", maxCopies+1))
	for range 4 {
		round(5 * time.Millisecond)
	}
	g.Expect(round(5 * time.Millisecond)).To(BeZero())
	g.Expect(core.State(now).Counts.CopiedForDomain).To(BeNumerically(">", sessions/2))
}

// Guards against a session that is copied back and forth while the load of its domain rises and
// falls.
func TestSessionThatSpillsOverIsCopiedOnce(t *testing.T) {
	g := NewWithT(t)
	core := newLocalCore(2, "a", "b")
	core.SeedCache(incarnation("e0"), []dispatch.Part{{ID: 5, Tokens: 6000}})
	now, seq, copies, far := 2*time.Second, uint64(0), 0, 0
	for range 10 {
		for range 6 { // at the same moment
			seq++
			r := requestIn("a", seq, 5)
			r.Target = 2 * time.Second
			for _, d := range core.Submit(now, r) {
				if d.Upstream == "e1" {
					far++
				}
				if d.CopyFrom != "" {
					copies++
				}
			}
		}
		for s := seq - 5; s <= seq; s++ {
			core.Started(now+400*time.Millisecond, ticket(s))
			core.Done(now+500*time.Millisecond, ticket(s), dispatch.Served, 500*time.Millisecond)
		}
		now += 3 * time.Second
		seq++
		g.Expect(submitIdle(core, now, requestIn("a", seq, 5)).Upstream).To(Equal("e0"))
		now += 3 * time.Second
	}
	g.Expect(copies).To(Equal(1))
	g.Expect(far).To(BeNumerically(">", 1))
}
