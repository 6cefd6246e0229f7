package dispatch_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/aspenswitch/aspenswitch/dispatch"
)

// restarted is an engine that has started again under its ID.
func restarted(m dispatch.Member, at int64) dispatch.Member {
	m.Started = at
	return m
}

// An engine crashes with work in hand and is back under its ID before anybody saw it
// leave. What was believed of it is of its earlier start: nothing of the session is
// kept there any more, nothing is ahead of new requests, and it isn't left alone for
// failures of before. Without this its callers would wait behind work that nobody does.
func TestRestartUnderTheSameIDEndsWhatWasBelieved(t *testing.T) {
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

	// Its clock was set back meanwhile: an earlier moment is another start as well.
	c.SetMembers(now, []dispatch.Member{restarted(members[0], 900), restarted(members[1], 2000)})

	g.Expect(c.State(now).Running).To(BeZero())
	g.Expect(c.State(now).Backlog).To(BeZero())
	g.Expect(c.State(now).Banned).To(BeZero())
	d := c.Submit(now, request(3, "a", 5))[0]
	g.Expect(d.Verdict).To(Equal(dispatch.Send))
	g.Expect(d.CopyFrom).To(BeEmpty(), "no engine keeps the session any more")
}

// The end of a request of the earlier start comes after the restart, as does what a
// router says that it holds there and what the engine kept then. None of it touches the
// accounts of the new start.
func TestLateWordOfAnEarlierStartIsPassedOver(t *testing.T) {
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
	g.Expect(cold.PredictedFirstByte).To(BeNumerically(">", 150*time.Millisecond), "6,000 tokens of the session are read again")
}

// A plain service's upstream is gone while requests wait for the others. The end of its
// last request must not draw the waiting ones to it: they would be sent to nobody.
func TestEndAtAnUpstreamThatLeftTakesNothingOver(t *testing.T) {
	g := NewWithT(t)
	c := dispatch.New(dispatch.DefaultConfig(false))
	one, two := dispatch.Member{Incarnation: named("p1"), Slots: 1}, dispatch.Member{Incarnation: named("p2"), Slots: 1}
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

// An upstream that says nothing of its start isn't taken for another one each time that
// it does or doesn't.
func TestUpstreamThatDoesNotTellItsStartStaysTheSame(t *testing.T) {
	g := NewWithT(t)
	c := newCore(1)
	now := 2 * time.Second
	c.Submit(now, request(1, "a", 5))
	c.SetMembers(now, []dispatch.Member{restarted(engines(1)[0], 1000)})
	g.Expect(c.State(now).Running).To(Equal(1))
}
