package dispatch_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/aspenswitch/aspenswitch/dispatch"
)

// recordLoadPlay submits random requests to a core, answers them and returns all decisions and the final
// state. load is what the upstreams state in their answers.
func recordLoadPlay(cfg dispatch.Config, seed uint64, load func(*rand.Rand) dispatch.LoadReport) (decisions []dispatch.Decision, end dispatch.State) {
	c := dispatch.New(cfg)
	c.SetMembers(0, engines(6))
	c.SetCapacity(300e3)
	rnd, loads := rand.New(rand.NewPCG(seed, 1)), rand.New(rand.NewPCG(seed, 2))
	outcomes := []dispatch.Outcome{dispatch.Failed, dispatch.Rejected, dispatch.Unreachable, dispatch.TimedOut, dispatch.Cancelled}
	busyUntil, sentAt := map[string]time.Duration{}, map[uint64]time.Duration{}
	var answers completionHeap
	now := time.Second
	handle := func(ds []dispatch.Decision) {
		decisions = append(decisions, ds...)
		for _, d := range ds {
			if d.Verdict != dispatch.Send {
				continue
			}
			firstByte := max(busyUntil[d.Upstream], now) + time.Duration(20+rnd.IntN(200))*time.Millisecond
			busyUntil[d.Upstream], sentAt[d.Ticket.Seq] = firstByte, now
			heap.Push(&answers, completion{at: firstByte, seq: d.Ticket.Seq, o: dispatch.Served})
		}
	}
	for seq := range uint64(2000) {
		for now += time.Duration(rnd.IntN(45)) * time.Millisecond; len(answers) > 0 && answers[0].at <= now; {
			a := heap.Pop(&answers).(completion)
			handle(c.StartedWithLoad(a.at, ticket(a.seq), load(loads)))
			if rnd.IntN(10) == 0 {
				a.o = outcomes[rnd.IntN(len(outcomes))]
			}
			handle(c.Done(now, ticket(a.seq), a.o, now-sentAt[a.seq]))
		}
		handle(c.Tick(now))
		handle(c.Submit(now, request(seq, fmt.Sprint(rnd.IntN(3)), rnd.Uint64N(20))))
	}
	return decisions, c.State(now)
}

// anyLoad returns loads with wrong figures among them.
func anyLoad(rnd *rand.Rand) dispatch.LoadReport {
	figures := []float64{0, 1, 0.6, 2.5, 1000, -1, 1e300, math.NaN(), math.Inf(1), math.Inf(-1)}
	counts := []int{0, 1, 40, 64, -1, math.MaxInt, math.MinInt}
	any := func() int { return counts[rnd.IntN(len(counts))] }
	return dispatch.LoadReport{
		Running: any(), Waiting: any(), Slots: any(), Slowdown: figures[rnd.IntN(len(figures))],
		Age: time.Duration(rnd.IntN(1000)-100) * time.Millisecond,
	}
}

func noLoad(*rand.Rand) dispatch.LoadReport { return dispatch.LoadReport{} }

// Guards against loads that change decisions although the setting is off, or although the upstreams
// don't state their present speed.
func TestLoadsWithoutSettingOrSpeedChangeNothing(t *testing.T) {
	for _, engine := range []bool{true, false} {
		g := NewWithT(t)
		off := dispatch.DefaultConfig(engine)
		on := off
		on.LoadReports = true
		for seed := range uint64(4) {
			decisions, end := recordLoadPlay(off, seed, noLoad)
			for name, play := range map[string]func() ([]dispatch.Decision, dispatch.State){
				"off":         func() ([]dispatch.Decision, dispatch.State) { return recordLoadPlay(off, seed, anyLoad) },
				"none stated": func() ([]dispatch.Decision, dispatch.State) { return recordLoadPlay(on, seed, noLoad) },
				"no speed": func() ([]dispatch.Decision, dispatch.State) {
					return recordLoadPlay(on, seed, func(rnd *rand.Rand) dispatch.LoadReport {
						return dispatch.LoadReport{Running: rnd.IntN(99), Waiting: rnd.IntN(99), Slots: 64}
					})
				},
			} {
				got, gotEnd := play()
				g.Expect(got).To(Equal(decisions), name)
				g.Expect(gotEnd).To(Equal(end), name)
			}
		}
	}
}
