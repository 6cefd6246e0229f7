package dispatch_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/aspenswitch/aspenswitch/dispatch"
)

// restarted returns an engine that restarted under the same ID.
func restarted(m dispatch.Member, at int64) dispatch.Member {
	m.Started = at
	return m
}

// Guards against callers that wait behind work lost in a crash. An engine restarts under
// its ID before it is seen leaving: its cache, backlog and ban must be reset.
func TestRestartUnderTheSameIDResetsTheModel(t *testing.T) {
	g := NewWithT(t)
	members := engines(2)
	members[0].Started, members[1].Started = 1000, 1000
	c := dispatch.New(dispatch.DefaultConfig(true))
	c.SetMembers(time.Second, members)
	c.SeedCache(members[0].Incarnation, []dispatch.Part{{ID: 5, Tokens: 6000}})
	now := 2 * time.Second
	g.Expect(c.Submit(now, request(1, "a", 5))[0].Upstream).To(Equal("e0"))
	c.Submit(now, request(2, "a", 6))
	c.Done(now, ticket(2), dispatch.Unreachable, 0)
	g.Expect(c.State(now).Banned).To(Equal(1))

	// The clock was set back meanwhile; an earlier start time is a different start as
	// well.
	c.SetMembers(now, []dispatch.Member{restarted(members[0], 900), restarted(members[1], 2000)})

	g.Expect(c.State(now).Running).To(BeZero())
	g.Expect(c.State(now).Backlog).To(BeZero())
	g.Expect(c.State(now).Banned).To(BeZero())
	d := c.Submit(now, request(3, "a", 5))[0]
	g.Expect(d.Verdict).To(Equal(dispatch.Send))
	g.Expect(d.CopyFrom).To(BeEmpty(), "no engine has the session cached")
}

// Guards against late reports about an earlier incarnation that change the accounts of the
// new one: a completion, a request held by a router, and cached parts.
func TestLateReportsOfAnEarlierIncarnationAreIgnored(t *testing.T) {
	g := NewWithT(t)
	members := engines(1)
	members[0].Started = 1000
	c := dispatch.New(dispatch.DefaultConfig(true))
	c.SetMembers(time.Second, members)
	now := 2 * time.Second
	c.Submit(now, request(1, "a", 5))
	c.SetMembers(now, []dispatch.Member{restarted(members[0], 2000)})
	c.Submit(now, request(2, "a", 6))
	g.Expect(c.State(now).Running).To(Equal(1))

	c.Started(now, ticket(1))
	c.Done(now, ticket(1), dispatch.Unreachable, 0)
	c.AddInFlight(now, request(3, "a", 7), dispatch.Incarnation{ID: "e0", Started: 1000}, true)
	c.SeedCache(dispatch.Incarnation{ID: "e0", Started: 1000}, []dispatch.Part{{ID: 8, Tokens: 6000}})

	g.Expect(c.State(now).Running).To(Equal(1))
	g.Expect(c.State(now).Banned).To(BeZero())
	before := c.State(now).Backlog
	c.Done(now, ticket(2), dispatch.Served, 0)
	g.Expect(before).To(BeNumerically(">", 0))
	cold := c.Submit(now, request(4, "a", 8))[0]
	g.Expect(cold.PredictedFirstByte).To(BeNumerically(">", 150*time.Millisecond), "6,000 tokens of the session are prefilled again")
}

// Guards against requests sent to an upstream that was removed: the completion of its last
// request must not make it steal requests queued for the others.
func TestCompletionAtARemovedUpstreamStealsNoRequests(t *testing.T) {
	g := NewWithT(t)
	c := dispatch.New(dispatch.DefaultConfig(false))
	one, two := dispatch.Member{Incarnation: incarnation("p1"), Slots: 1}, dispatch.Member{Incarnation: incarnation("p2"), Slots: 1}
	c.SetMembers(time.Second, []dispatch.Member{one, two})
	now := 2 * time.Second
	var sent []dispatch.Decision
	for seq := range uint64(4) {
		r := dispatch.Request{Ticket: ticket(seq), Target: time.Second, Timeout: time.Second}
		sent = append(sent, c.Submit(now, r)...)
	}
	g.Expect(c.State(now).Waiting).To(Equal(2))
	c.SetMembers(now, []dispatch.Member{two})
	for _, d := range sent {
		if d.Verdict != dispatch.Send || d.Upstream != "p1" {
			continue
		}
		for _, later := range c.Done(now, d.Ticket, dispatch.Served, time.Millisecond) {
			g.Expect(later.Upstream).NotTo(Equal("p1"))
		}
	}
}

// Guards against a reset of the model each time an upstream with unknown start time
// reports one, or doesn't.
func TestUpstreamWithUnknownStartStaysTheSame(t *testing.T) {
	g := NewWithT(t)
	c := newCore(1)
	now := 2 * time.Second
	c.Submit(now, request(1, "a", 5))
	c.SetMembers(now, []dispatch.Member{restarted(engines(1)[0], 1000)})
	g.Expect(c.State(now).Running).To(Equal(1))
}
