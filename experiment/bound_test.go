package experiment

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/aspenswitch/aspenswitch/sched"
)

// randomLoad draws sizes, shares, demands, and where the teams are seen.
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

// Thirty random loads, shares, and spreads of teams over routers: the gap stays
// within the bound, no team that waits goes without service, and hardly any slot
// time is idle beside a waiting request.
func TestGapStaysWithinTheBound(t *testing.T) {
	for seed := range uint64(30) {
		l := randomLoad(seed)
		largest := 0.0
		for _, a := range l.arrivals() {
			largest = max(largest, a.cost)
		}
		r := newRun(l, Fleet(nil))
		r.run()
		if bound := gapBound(l, sched.DefaultConfig("", 0), largest); r.meter.whole.gap > bound {
			t.Errorf("load %d: gap %g is beyond the bound %g", seed, r.meter.whole.gap, bound)
		}
		starves := time.Duration(2*largest*float64(time.Second)) + time.Second
		for i, team := range r.meter.teams {
			if team.longest > starves {
				t.Errorf("load %d: team %d waited %v without service", seed, i, team.longest)
			}
		}
		if wasted := r.meter.idleWaste / (float64(l.Slots()) * l.Duration.Seconds()); wasted > 0.02 {
			t.Errorf("load %d: %g of all slot time stood idle beside waiting requests", seed, wasted)
		}
	}
}

// The whole fleet has the same verdict on the same seed: a run can be repeated.
func TestRunsRepeat(t *testing.T) {
	l := Midlands(3, 5*time.Second)
	a, b := Run(l, Fleet(nil)), Run(l, Fleet(nil))
	if a.Gap != b.Gap || a.ControlBytes != b.ControlBytes || a.Utilisation != b.Utilisation {
		t.Fatalf("two runs of one seed: gaps %g and %g, bytes %g and %g", a.Gap, b.Gap, a.ControlBytes, b.ControlBytes)
	}
}

// gapBound is the largest weighted service gap, in slot seconds per unit of share,
// that the design allows between two backlogged teams; docs/FAIRNESS.md derives
// it. largest is the cost of the load's largest request. It is loose: it lets
// every slot be wrong at once.
func gapBound(l Load, cfg sched.Config, largest float64) float64 {
	least := l.Teams[0].Share
	for _, t := range l.Teams {
		least = min(least, t.Share)
	}
	slots := float64(l.Slots())
	unseen := cfg.ReportEvery.Seconds() + tickEvery.Seconds() + 2*l.OneWay.Seconds()
	known := (cfg.Hysteresis + float64(l.Routers)*cfg.Fairness.ReportError) * l.MeanCost
	return known + slots/least*(unseen+cfg.Fairness.PrechargeRatio*l.MeanCost+largest)
}
