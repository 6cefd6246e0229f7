package lab_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/aspenswitch/aspenswitch/lab"
)

// drawnFleet is a fleet of one to 330 routers before one to thirty homes, with two to four
// teams that ask for several times their share, each through one router, some or all;
// engines that leave and come back, a home that is lost, and messages between homes that
// are late or lost.
func drawnFleet(seed uint64) (lab.Load, lab.Fleet) {
	const s = time.Second
	rnd := rand.New(rand.NewPCG(seed, 7))
	homes := 1 + rnd.IntN(30)
	engines := max(homes*(3+rnd.IntN(3)), 12)
	l := lab.GrownLoad(seed)
	l.Scale, l.Duration = 0.5*float64(engines)/float64(l.Sheet.Engines), 16*s
	l.Surges = nil
	shape := lab.Fleet{
		Engines: engines, Routers: 1 + rnd.IntN(330), Homes: homes,
		ReportLoss: 0.1 * rnd.Float64(), MaxReportDelay: time.Duration(1+rnd.IntN(30)) * time.Millisecond,
		EngineOutages:    []lab.EngineOutage{{Engines: engines / 4, From: 8 * s, To: 11 * s}},
		HomeReplacements: []lab.HomeReplacement{{Home: rnd.IntN(homes), At: 9 * s}},
	}
	for team := range 2 + rnd.IntN(3) {
		// A team's usual falls with its rank.
		times := 1.5 * float64(team+1) * (1.5 + rnd.Float64())
		l.Surges = append(l.Surges, lab.Surge{Team: team, Factor: times, From: time.Duration(1+rnd.IntN(3)) * s, To: l.Duration})
		if rnd.IntN(2) == 0 {
			shape.SpreadTeams = append(shape.SpreadTeams, team)
		}
	}
	for range shape.Routers {
		shape.RouterCPUs = append(shape.RouterCPUs, ample)
	}
	return l, shape
}

// Guards against a share that depends on a fleet's size, its homes or a team's routers.
func TestDrawnFleetsShareAlike(t *testing.T) {
	g := NewWithT(t)
	for seed := range uint64(drawnFleets) {
		l, shape := drawnFleet(seed)
		r := lab.Simulate(l, shape, lab.Home)
		t.Logf("seed %d: %d routers, %d homes, %d engines, wide %v: gap %.2f", seed, shape.Routers, shape.Homes, shape.Engines, shape.SpreadTeams, r.TrimmedFairnessRatio)
		g.Expect(r.TrimmedFairnessRatio).To(BeNumerically(">", fairPart), "seed %d", seed)
	}
}

// drawnFleets is how many are drawn.
const drawnFleets = 6
