package experiment

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/aspenswitch/aspenswitch/sched"
)

// randomLoad draws the request costs, the teams' shares and demands, and the routers that they use.
func randomLoad(seed uint64) Load {
	rng := rand.New(rand.NewPCG(seed, 7))
	l := Load{
		Name: "random", Seed: seed, Routers: 2 + rng.IntN(4), Upstreams: 4, SlotsPerUpstream: 3,
		MeanCost: 0.5, Sigma: 1.2 * rng.Float64(), Duration: 8 * time.Second, OneWay: time.Millisecond,
	}
	for range 2 + rng.IntN(5) {
		l.Teams = append(l.Teams, Team{
			Share:  0.5 + 3.5*rng.Float64(),
			Demand: 0.2 + 3.8*rng.Float64(),
			Router: rng.IntN(l.Routers+1) - 1,
		})
	}
	return l
}

// Thirty random loads, shares and assignments of teams to routers: the gap must stay within the
// bound, no waiting team may starve, and hardly any slot time may be idle while a request waits.
func TestGapStaysWithinTheBound(t *testing.T) {
	for seed := range uint64(30) {
		l := randomLoad(seed)
		largest := 0.0
		for _, a := range l.arrivals() {
			largest = max(largest, a.cost)
		}
		r := newRun(l, Fleet(nil))
		r.run()
		if bound := gapBound(l, sched.DefaultConfig("", 0), largest); r.meter.runGap.gap > bound {
			t.Errorf("load %d: gap %g is beyond the bound %g", seed, r.meter.runGap.gap, bound)
		}
		maxUnserved := time.Duration(2*largest*float64(time.Second)) + time.Second
		for i, team := range r.meter.teams {
			if team.longestUnserved > maxUnserved {
				t.Errorf("load %d: team %d waited %v without service", seed, i, team.longestUnserved)
			}
		}
		if idleFraction := r.meter.idleTime / (float64(l.Slots()) * l.Duration.Seconds()); idleFraction > 0.02 {
			t.Errorf("load %d: %g of all slot time was idle while requests waited", seed, idleFraction)
		}
	}
}

// A run must be repeatable: the same seed gives the same outcome.
func TestRunsRepeat(t *testing.T) {
	l := Midlands(3, 5*time.Second)
	a, b := Run(l, Fleet(nil)), Run(l, Fleet(nil))
	if a.Gap != b.Gap || a.ControlBytes != b.ControlBytes || a.Utilisation != b.Utilisation {
		t.Fatalf("two runs of one seed: gaps %g and %g, bytes %g and %g", a.Gap, b.Gap, a.ControlBytes, b.ControlBytes)
	}
}

// gapBound returns the largest weighted service gap, in slot seconds per unit of share, that
// the design allows between two backlogged teams; docs/FAIRNESS.md derives it. largest is the
// cost of the load's largest request. The bound is loose: it assumes that every slot is
// assigned wrongly at the same time.
func gapBound(l Load, cfg sched.Config, largest float64) float64 {
	minShare := l.Teams[0].Share
	for _, t := range l.Teams {
		minShare = min(minShare, t.Share)
	}
	slots := float64(l.Slots())
	reportDelay := cfg.ReportEvery.Seconds() + tickInterval.Seconds() + 2*l.OneWay.Seconds()
	reportedError := (cfg.Hysteresis + float64(l.Routers)*cfg.Fairness.ReportError) * l.MeanCost
	return reportedError + slots/minShare*(reportDelay+cfg.Fairness.PrechargeRatio*l.MeanCost+largest)
}
