package dispatch_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/aspenswitch/aspenswitch/dispatch"
)

// testRouter submits requests for a team.
type testRouter struct {
	s      *simulation
	router uint64
	seq    uint64
}

func (a *testRouter) submit(team string) {
	a.seq++
	a.s.submitFrom(a.router, team, a.seq%20)
}

// allowance returns the last allowance that the router received.
func (a *testRouter) allowance() float64 { return a.s.allowances[a.router] }

// newBusySimulation returns a simulation of engines that serve a capacity in tokens per second.
func newBusySimulation(engines int, capacity float64) *simulation {
	s := newSimulation(newCore(engines))
	s.c.SetCapacity(capacity)
	r := request(1, "", 1)
	s.prefillTime = time.Duration(float64(engines) * dispatch.ChargedTokens(&r) / capacity * float64(time.Second))
	return s
}

// Guards against allowances that ignore how a team's demand is spread over routers. Two
// teams request more than the capacity, one of them through two routers with demand 9:1.
// Each router gets its part of at least twice the team's fair rate; a team within its share
// has no bound.
func TestRoutersGetTheirPartsOfATeamsRate(t *testing.T) {
	g := NewWithT(t)
	const capacity = 300000
	sim := newBusySimulation(10, capacity)
	heavy, light := &testRouter{s: sim, router: 1}, &testRouter{s: sim, router: 2}
	other, small := &testRouter{s: sim, router: 3}, &testRouter{s: sim, router: 4}
	for i := range 600 {
		sim.step(10 * time.Millisecond)
		if i%10 == 0 {
			light.submit("flood")
		} else {
			heavy.submit("flood")
		}
		other.submit("other")
		if i%100 == 0 {
			small.submit("small")
		}
	}
	g.Expect(math.IsInf(small.allowance(), 1)).To(BeTrue())
	g.Expect(heavy.allowance()/light.allowance()).To(BeNumerically("~", 9, 3), fmt.Sprint(heavy.allowance(), light.allowance()))
	g.Expect(heavy.allowance() + light.allowance()).To(BeNumerically(">", 0.6*other.allowance()))
	g.Expect(heavy.allowance() + light.allowance()).To(BeNumerically("<", 1.6*other.allowance()))
	// At least 0.6 of the published throughput is assumed. The small team gets all it
	// requests. The other team's router may request twice its fair rate, which is half of
	// the rest.
	const smallRate = 9100
	g.Expect(other.allowance()).To(BeNumerically(">", 0.8*(0.6*capacity-smallRate)))
}

// Guards against hundreds of routers that together may request several times a team's
// rate.
func TestManyRoutersMayAskForNoMoreThanOne(t *testing.T) {
	g := NewWithT(t)
	sim := newBusySimulation(2, 60000)
	wide := make([]*testRouter, 280)
	for i := range wide {
		wide[i] = &testRouter{s: sim, router: uint64(i + 10)}
	}
	narrow := &testRouter{s: sim, router: 1}
	for i := range 1200 {
		sim.step(5 * time.Millisecond)
		a := wide[i%len(wide)]
		a.submit("wide")
		narrow.submit("narrow")
	}
	total := 0.0
	for _, a := range wide {
		total += a.allowance()
	}
	g.Expect(total).To(BeNumerically("<", 1.6*narrow.allowance()))
	g.Expect(total).To(BeNumerically(">", 0.6*narrow.allowance()))
}

// Guards against an allowance that shrinks with each refusal: requests that a router sheds
// must count towards its part of the team's demand.
func TestShedRequestsCountForTheRoutersPart(t *testing.T) {
	g := NewWithT(t)
	sim := newBusySimulation(2, 60000)
	a, b := &testRouter{s: sim, router: 1}, &testRouter{s: sim, router: 2}
	for range 300 {
		sim.step(10 * time.Millisecond)
		a.submit("flood")
		b.submit("flood")
		sim.c.RecordShed(sim.now, 2, "flood", 3*9000, nil)
	}
	g.Expect(b.allowance() / a.allowance()).To(BeNumerically("~", 4, 0.8))
}

// Guards against a slow recovery of a team that got nothing for two seconds because its
// router was delayed or replies were late. It may request its whole share at once; with an
// allowance of twice its usage, others would take its capacity meanwhile.
func TestTeamThatGotNothingMayAskForItsShareAtOnce(t *testing.T) {
	g := NewWithT(t)
	const capacity = 400000
	sim := newBusySimulation(10, capacity)
	a, b := &testRouter{s: sim, router: 1}, &testRouter{s: sim, router: 2}
	for i := range 1500 {
		sim.step(4 * time.Millisecond)
		if i < 1000 || i == 1499 {
			a.submit("held up")
		}
		b.submit("other")
	}
	// Twice the fair rate, which is half of 0.6 of the published throughput.
	g.Expect(a.allowance()).To(BeNumerically(">", 0.8*0.6*capacity))
}

// Guards against a team whose callers move to another router, and that may ask for a small part of its
// rate there for seconds.
func TestRouterToWhichCallersMoveGetsTheirPart(t *testing.T) {
	g := NewWithT(t)
	const capacity = 300000
	sim := newBusySimulation(10, capacity)
	first, second, other := &testRouter{s: sim, router: 1}, &testRouter{s: sim, router: 2}, &testRouter{s: sim, router: 3}
	run := func(at *testRouter, duration time.Duration) {
		for end := sim.now + duration; sim.now < end; {
			sim.step(10 * time.Millisecond)
			at.submit("moves")
			other.submit("other")
		}
	}
	run(first, 5*time.Second)
	run(second, 500*time.Millisecond)
	// Half of 0.6 of the published throughput is the fair rate, and a router may ask for twice that.
	g.Expect(second.allowance()).To(BeNumerically(">", 0.8*0.6*capacity))
}
