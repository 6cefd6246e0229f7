package lab_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/aspenswitch/aspenswitch/lab"
)

// randomFleet draws a fleet of one to 330 routers and one to thirty homes, with two to four
// teams that request several times their share, each through one or all routers. Engines
// leave and return, a home is replaced, and messages between homes are delayed or lost.
func randomFleet(seed uint64) (lab.Load, lab.Fleet) {
	const s = time.Second
	rnd := rand.New(rand.NewPCG(seed, 7))
	homes := 1 + rnd.IntN(30)
	engines := max(homes*(3+rnd.IntN(3)), 12)
	l := lab.GrownLoad(seed)
	l.Scale, l.Duration = 0.5*float64(engines)/float64(l.Sheet.Engines), 16*s
	l.Surges = nil
	fleet := lab.Fleet{
		Engines: engines, Routers: 1 + rnd.IntN(330), Homes: homes,
		ReportLoss: 0.1 * rnd.Float64(), MaxReportDelay: time.Duration(1+rnd.IntN(30)) * time.Millisecond,
		EngineOutages:    []lab.EngineOutage{{Engines: engines / 4, From: 8 * s, To: 11 * s}},
		HomeReplacements: []lab.HomeReplacement{{Home: rnd.IntN(homes), At: 9 * s}},
	}
	for team := range 2 + rnd.IntN(3) {
		// A team's base rate falls with its rank.
		factor := 1.5 * float64(team+1) * (1.5 + rnd.Float64())
		l.Surges = append(l.Surges, lab.Surge{Team: team, Factor: factor, From: time.Duration(1+rnd.IntN(3)) * s, To: l.Duration})
		if rnd.IntN(2) == 0 {
			fleet.SpreadTeams = append(fleet.SpreadTeams, team)
		}
	}
	for range fleet.Routers {
		fleet.RouterCPUs = append(fleet.RouterCPUs, unlimitedCPU)
	}
	return l, fleet
}

// Guards against fair shares that depend on the size of the fleet, the number of homes or the
// number of routers that a team uses.
func TestRandomFleetsShareFairly(t *testing.T) {
	g := NewWithT(t)
	for seed := range uint64(randomFleets) {
		l, fleet := randomFleet(seed)
		r := lab.Simulate(l, fleet, lab.Home)
		t.Logf("seed %d: %d routers, %d homes, %d engines, spread teams %v: fairness ratio %.2f", seed, fleet.Routers, fleet.Homes, fleet.Engines, fleet.SpreadTeams, r.TrimmedFairnessRatio)
		g.Expect(r.TrimmedFairnessRatio).To(BeNumerically(">", minFairnessRatio), "seed %d", seed)
	}
}

// randomFleets is the number of fleets drawn.
const randomFleets = 6
