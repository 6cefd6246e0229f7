package dispatch_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/aspenswitch/aspenswitch/dispatch"
)

// testRouter submits requests for a team and stores the last allowance it received.
type testRouter struct {
	c         *dispatch.Core
	router    uint64
	seq       uint64
	allowance float64
	sent      []dispatch.Ticket
}

func (a *testRouter) submit(now time.Duration, team string) {
	a.seq++
	r := request(a.seq, team, a.seq%20)
	r.Ticket.Router = a.router
	for _, d := range a.c.Submit(now, r) {
		if d.Ticket == r.Ticket && d.Allowance != 0 {
			a.allowance = d.Allowance
		}
		if d.Verdict == dispatch.Send {
			a.sent = append(a.sent, d.Ticket)
		}
	}
}

// finish completes the requests that were sent.
func (a *testRouter) finish(now time.Duration) {
	for _, t := range a.sent {
		a.c.Started(now, t)
		a.c.Done(now, t, dispatch.Served, time.Second)
	}
	a.sent = nil
}

// Guards against allowances that ignore how a team's demand is spread over routers. Two
// teams request more than the capacity, one of them through two routers with demand 9:1.
// Each router gets its part of at least twice the team's fair rate; a team within its share
// has no bound.
func TestRoutersGetTheirPartsOfATeamsRate(t *testing.T) {
	g := NewWithT(t)
	const capacity = 60000
	c := newCore(2)
	c.SetCapacity(capacity)
	heavy, light := &testRouter{c: c, router: 1}, &testRouter{c: c, router: 2}
	other, small := &testRouter{c: c, router: 3}, &testRouter{c: c, router: 4}
	now := 2 * time.Second
	for i := range 600 {
		now += 10 * time.Millisecond
		if i%10 == 0 {
			light.submit(now, "flood")
		} else {
			heavy.submit(now, "flood")
		}
		other.submit(now, "other")
		if i%100 == 0 {
			small.submit(now, "small")
		}
		if i%20 == 0 {
			for _, a := range []*testRouter{heavy, light, other, small} {
				a.finish(now)
			}
		}
	}
	g.Expect(math.IsInf(small.allowance, 1)).To(BeTrue())
	g.Expect(heavy.allowance/light.allowance).To(BeNumerically("~", 9, 3), fmt.Sprint(heavy.allowance, light.allowance))
	g.Expect(heavy.allowance + light.allowance).To(BeNumerically(">", 0.6*other.allowance))
	g.Expect(heavy.allowance + light.allowance).To(BeNumerically("<", 1.6*other.allowance))
	// At least 0.6 of the published throughput is assumed. The small team gets all it
	// requests. The other team's router may request twice its fair rate, which is half of
	// the rest.
	const smallRate = 9100
	g.Expect(other.allowance).To(BeNumerically(">", 0.8*(0.6*capacity-smallRate)))
}

// Guards against hundreds of routers that together may request several times a team's
// rate.
func TestManyRoutersMayAskForNoMoreThanOne(t *testing.T) {
	g := NewWithT(t)
	c := newCore(2)
	c.SetCapacity(60000)
	wide := make([]*testRouter, 280)
	for i := range wide {
		wide[i] = &testRouter{c: c, router: uint64(i + 10)}
	}
	narrow := &testRouter{c: c, router: 1}
	now := 2 * time.Second
	for i := range 1200 {
		now += 5 * time.Millisecond
		a := wide[i%len(wide)]
		a.submit(now, "wide")
		narrow.submit(now, "narrow")
		if i%20 == 0 {
			narrow.finish(now)
			for _, a := range wide {
				a.finish(now)
			}
		}
	}
	total := 0.0
	for _, a := range wide {
		total += a.allowance
	}
	g.Expect(total).To(BeNumerically("<", 1.6*narrow.allowance))
	g.Expect(total).To(BeNumerically(">", 0.6*narrow.allowance))
}

// Guards against an allowance that shrinks with each refusal: requests that a router sheds
// must count towards its part of the team's demand.
func TestShedRequestsCountForTheRoutersPart(t *testing.T) {
	g := NewWithT(t)
	c := newCore(2)
	c.SetCapacity(60000)
	a, b := &testRouter{c: c, router: 1}, &testRouter{c: c, router: 2}
	now := 2 * time.Second
	for i := range 300 {
		now += 10 * time.Millisecond
		a.submit(now, "flood")
		b.submit(now, "flood")
		c.RecordShed(now, 2, "flood", 3*9000, nil)
		if i%20 == 0 {
			a.finish(now)
			b.finish(now)
		}
	}
	g.Expect(b.allowance / a.allowance).To(BeNumerically("~", 4, 0.8))
}

// Guards against a slow recovery of a team that got nothing for two seconds because its
// router was delayed or replies were late. It may request its whole share at once; with an
// allowance of twice its usage, others would take its capacity meanwhile.
func TestTeamThatGotNothingMayAskForItsShareAtOnce(t *testing.T) {
	g := NewWithT(t)
	const capacity = 400000
	c := newCore(10)
	c.SetCapacity(capacity)
	a, b := &testRouter{c: c, router: 1}, &testRouter{c: c, router: 2}
	now := 2 * time.Second
	for i := range 1500 {
		now += 4 * time.Millisecond
		if i < 1000 || i == 1499 {
			a.submit(now, "held up")
		}
		b.submit(now, "other")
		if i%50 == 0 {
			a.finish(now)
			b.finish(now)
		}
	}
	// Twice the fair rate, which is half of 0.6 of the published throughput.
	g.Expect(a.allowance).To(BeNumerically(">", 0.8*0.6*capacity))
}
