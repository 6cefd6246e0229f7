package dispatch_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/aspenswitch/aspenswitch/dispatch"
)

// Guards against reports that change how upstreams are judged by their answers: with ones that
// state an idle upstream at the usual speed or faster, bans and decisions are those without reports.
func TestUpstreamsThatStateThatTheyAreIdleAreJudgedByTheirAnswers(t *testing.T) {
	for _, engine := range []bool{true, false} {
		g := NewWithT(t)
		off := dispatch.DefaultConfig(engine)
		on := off
		on.LoadReports = true
		want, wantEnd := recordLoadPlay(off, 1, noLoad)
		for _, slowdown := range []float64{1, 0.01} {
			got, end := recordLoadPlay(on, 1, func(*rand.Rand) dispatch.LoadReport { return dispatch.LoadReport{Slots: 64, Slowdown: slowdown} })
			g.Expect(got).To(HaveLen(len(want)))
			for i, d := range got {
				g.Expect([]any{d.Ticket, d.Verdict, d.Upstream}).To(Equal([]any{want[i].Ticket, want[i].Verdict, want[i].Upstream}))
			}
			g.Expect(end.Banned).To(Equal(wantEnd.Banned))
			g.Expect(end.Counts).To(Equal(wantEnd.Counts))
		}
	}
}

// Guards against an upstream that stays without requests because it always states that it is full
// and slow: its answers show that it isn't.
func TestUpstreamThatOverstatesItsLoadGetsItsShareAgain(t *testing.T) {
	g := NewWithT(t)
	s := newSimulation(newReportedCore(true, 4))
	sent := map[string]int{}
	s.stated = func(engine string) dispatch.LoadReport {
		if engine == "e0" {
			return dispatch.LoadReport{Running: 1e6, Waiting: 1e6, Slots: 64, Slowdown: 1000}
		}
		return dispatch.LoadReport{Running: 1, Slots: 64, Slowdown: 1}
	}
	s.onSendTo = func(engine string) { sent[engine]++ }
	for i := range uint64(3000) {
		if i == 1000 {
			clear(sent)
		}
		s.submit("a", i%200)
		s.step(30 * time.Millisecond)
	}
	g.Expect(sent["e0"]).To(BeNumerically(">", 300), "of %v", sent)
}

// Guards against the speed of an earlier incarnation that is used for the next one under the same ID.
func TestRestartedUpstreamHasNoStatedSpeed(t *testing.T) {
	g := NewWithT(t)
	c := newReportedCore(true, 1)
	members := engines(1)
	members[0].Started = 1000
	c.SetMembers(time.Second, members)
	now := 2 * time.Second
	c.Submit(now, request(1, "a", 5))
	c.ObserveLoad(now, members[0].Incarnation, slowedDown(4))
	g.Expect(c.State(now).Stated.Slowdown).To(Equal(4.0))
	members[0].Started = 2000
	c.SetMembers(now, members)
	g.Expect(c.State(now).Stated).To(BeNil())
	c.ObserveLoad(now, dispatch.Incarnation{ID: "e0", Started: 1000}, slowedDown(4))
	c.StartedWithLoad(now, ticket(1), slowedDown(4))
	g.Expect(c.State(now).Stated).To(BeNil())
}

// Guards against counting this home's own requests as those of others: a figure from before their ends
// were reported, and one from before the last sends.
func TestLateFiguresCountNoOwnRequestsTwice(t *testing.T) {
	g := NewWithT(t)
	c := newReportedCore(false, 1)
	now := 2 * time.Second
	c.ObserveLoad(now-time.Second, incarnation("e0"), slowedDown(1))
	for seq := range uint64(10) {
		c.Submit(now, request(seq, "a", seq))
	}
	now += 200 * time.Millisecond
	for seq := range uint64(10) {
		c.Done(now, ticket(seq), dispatch.Served, 200*time.Millisecond)
	}
	stated := dispatch.LoadReport{Running: 10, Slots: 64, Slowdown: 1, Age: 200 * time.Millisecond}
	c.ObserveLoad(now, incarnation("e0"), stated)
	g.Expect(c.State(now).Stated.OtherRequests).To(BeZero())
	stated.Running = 13
	c.ObserveLoad(now+time.Millisecond, incarnation("e0"), stated)
	g.Expect(c.State(now).Stated.OtherRequests).To(Equal(3))
	for seq := range uint64(20) {
		c.Submit(now, request(100+seq, "a", seq))
	}
	c.ObserveLoad(now+2*time.Millisecond, incarnation("e0"), stated)
	g.Expect(c.State(now).Stated.OtherRequests).To(BeZero(), "20 were sent since")
	g.Expect(c.State(now).Running).To(Equal(20))
}

// Guards against a home that sends to upstreams whose slots others use, and against doing so for good.
func TestRequestsOfOthersOccupySlotsWhileTheyAreStated(t *testing.T) {
	g := NewWithT(t)
	c := newReportedCore(false, 2)
	now := 2 * time.Second
	c.ObserveLoad(now-time.Second, incarnation("e0"), slowedDown(1))
	c.ObserveLoad(now, incarnation("e0"), dispatch.LoadReport{Running: 60, Waiting: 40, Slots: 64, Slowdown: 1})
	for seq := range uint64(40) {
		g.Expect(c.Submit(now, request(seq, "a", seq))[0].Upstream).To(Equal("e1"))
	}
	now += time.Second
	g.Expect(c.Submit(now, request(50, "a", 50))[0].Upstream).To(Equal("e0"))
}

// Guards against reports that stop, are delayed or arrive in another order.
func TestOldReportsFade(t *testing.T) {
	g := NewWithT(t)
	c := newReportedCore(true, 1)
	now := 2 * time.Second
	usual := chosen(c, now, 1).PredictedFirstByte
	c.ObserveLoad(now, incarnation("e0"), slowedDown(1))
	delayed := slowedDown(4)
	delayed.Age = 200 * time.Millisecond
	c.ObserveLoad(now, incarnation("e0"), delayed)
	g.Expect(chosen(c, now, 2).PredictedFirstByte).To(BeNumerically("~", usual, usual/100), "a newer report was received before")
	now += time.Second
	c.ObserveLoad(now, incarnation("e0"), delayed)
	g.Expect(chosen(c, now, 3).PredictedFirstByte).To(BeNumerically("~", 3*usual, usual/5), "200 ms old")
	now += 5 * time.Second
	g.Expect(chosen(c, now, 4).PredictedFirstByte).To(BeNumerically("~", usual, usual/10), "no report since")
}

// Guards against predictions that aren't positive and finite, and against decisions without them.
func TestPredictionsStayWithinBoundsWithAnyReports(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		cfg := dispatch.DefaultConfig(rapid.Bool().Draw(t, "engine"))
		cfg.LoadReports = true
		decisions, end := recordLoadPlay(cfg, rapid.Uint64().Draw(t, "seed"), anyLoad)
		for _, d := range decisions {
			g.Expect(d.PredictedFirstByte).To(BeNumerically(">=", 0))
			g.Expect(d.PredictedFirstByte).To(BeNumerically("<", time.Minute))
		}
		if s := end.Stated; s != nil {
			g.Expect(s.Slowdown).To(And(BeNumerically(">=", 1), BeNumerically("<=", 4)))
			g.Expect(s.OtherRequests).To(BeNumerically("<", 6*64))
		}
		g.Expect(end.PrefillFactor).To(And(BeNumerically(">=", 0.1), BeNumerically("<", 10)))
	})
}
