package dispatch_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/aspenswitch/aspenswitch/dispatch"
)

// asker is a router that asks a core for a team and keeps what it was last allowed.
type asker struct {
	c       *dispatch.Core
	router  uint64
	seq     uint64
	allowed float64
	sent    []dispatch.Ticket
}

func (a *asker) ask(now time.Duration, team string) {
	a.seq++
	r := request(a.seq, team, a.seq%20)
	r.Ticket.Router = a.router
	for _, d := range a.c.Submit(now, r) {
		if d.Ticket == r.Ticket && d.Allowance != 0 {
			a.allowed = d.Allowance
		}
		if d.Verdict == dispatch.Send {
			a.sent = append(a.sent, d.Ticket)
		}
	}
}

// end lets what was sent end.
func (a *asker) end(now time.Duration) {
	for _, t := range a.sent {
		a.c.Started(now, t)
		a.c.Done(now, t, dispatch.Served, time.Second)
	}
	a.sent = nil
}

// Two teams ask for far more than there is, one of them through two routers, of which
// one gets nine times as much as the other. Each router is told its part of the team's
// rate, twice the fair one at the least; a team that asks for no more than its share has
// no bound.
func TestRoutersAreToldTheirPartsOfATeamsRate(t *testing.T) {
	g := NewWithT(t)
	const capacity = 60000
	c := newCore(2)
	c.SetCapacity(capacity)
	most, least := &asker{c: c, router: 1}, &asker{c: c, router: 2}
	other, small := &asker{c: c, router: 3}, &asker{c: c, router: 4}
	now := 2 * time.Second
	for i := range 600 {
		now += 10 * time.Millisecond
		if i%10 == 0 {
			least.ask(now, "flood")
		} else {
			most.ask(now, "flood")
		}
		other.ask(now, "other")
		if i%100 == 0 {
			small.ask(now, "small")
		}
		if i%20 == 0 {
			for _, a := range []*asker{most, least, other, small} {
				a.end(now)
			}
		}
	}
	g.Expect(math.IsInf(small.allowed, 1)).To(BeTrue())
	g.Expect(most.allowed/least.allowed).To(BeNumerically("~", 9, 3), fmt.Sprint(most.allowed, least.allowed))
	g.Expect(most.allowed + least.allowed).To(BeNumerically(">", 0.6*other.allowed))
	g.Expect(most.allowed + least.allowed).To(BeNumerically("<", 1.6*other.allowed))
	// At least 0.6 of the published yield is taken for granted. The small team gets what it
	// asks, and a router may ask for twice its team's fair part, which is half of the rest.
	const smallRate = 9100
	g.Expect(other.allowed).To(BeNumerically(">", 0.8*(0.6*capacity-smallRate)))
}

// Guards against hundreds of routers that together may ask for several times a team's rate.
func TestManyRoutersMayAskForNoMoreThanOne(t *testing.T) {
	g := NewWithT(t)
	c := newCore(2)
	c.SetCapacity(60000)
	wide := make([]*asker, 280)
	for i := range wide {
		wide[i] = &asker{c: c, router: uint64(i + 10)}
	}
	narrow := &asker{c: c, router: 1}
	now := 2 * time.Second
	for i := range 1200 {
		now += 5 * time.Millisecond
		a := wide[i%len(wide)]
		a.ask(now, "wide")
		narrow.ask(now, "narrow")
		if i%20 == 0 {
			narrow.end(now)
			for _, a := range wide {
				a.end(now)
			}
		}
	}
	all := 0.0
	for _, a := range wide {
		all += a.allowed
	}
	g.Expect(all).To(BeNumerically("<", 1.6*narrow.allowed))
	g.Expect(all).To(BeNumerically(">", 0.6*narrow.allowed))
}

// What a router refused without asking counts as asked for there, or its part of the
// team's rate would shrink with each refusal.
func TestShedRequestsCountForTheRoutersPart(t *testing.T) {
	g := NewWithT(t)
	c := newCore(2)
	c.SetCapacity(60000)
	a, b := &asker{c: c, router: 1}, &asker{c: c, router: 2}
	now := 2 * time.Second
	for i := range 300 {
		now += 10 * time.Millisecond
		a.ask(now, "flood")
		b.ask(now, "flood")
		c.RecordShed(now, 2, "flood", 3*9000, nil)
		if i%20 == 0 {
			a.end(now)
			b.end(now)
		}
	}
	g.Expect(b.allowed / a.allowed).To(BeNumerically("~", 4, 0.8))
}

// A team gets nothing for two seconds: its router was held up, or homes' answers came
// late. Then it may ask for its whole share at once. Where it may ask for twice what it
// got, others have long taken what it leaves before it is back at its share.
func TestTeamThatGotNothingMayAskForItsShareAtOnce(t *testing.T) {
	g := NewWithT(t)
	const capacity = 400000
	c := newCore(10)
	c.SetCapacity(capacity)
	a, b := &asker{c: c, router: 1}, &asker{c: c, router: 2}
	now := 2 * time.Second
	for i := range 1500 {
		now += 4 * time.Millisecond
		if i < 1000 || i == 1499 {
			a.ask(now, "held up")
		}
		b.ask(now, "other")
		if i%50 == 0 {
			a.end(now)
			b.end(now)
		}
	}
	// Half of the published yield's 0.6, twice.
	g.Expect(a.allowed).To(BeNumerically(">", 0.8*0.6*capacity))
}
