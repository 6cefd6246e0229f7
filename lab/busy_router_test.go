package lab_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/aspenswitch/aspenswitch/lab"
)

const (
	// busyRouterCount is the number of routers in front of one home's share of a grown deployment.
	busyRouterCount = 24
	// smallRouterCPU is a quarter of 0.25 cores: the test simulates one home of four and so
	// a quarter of each router's CPU.
	smallRouterCPU = 0.0625
	// unfairRatio is the fraction of another team's service below which users call the result unfair.
	unfairRatio = 0.5
)

// simulateBusyRouter simulates floods from three teams while three of eight engines are
// unavailable for four seconds. All callers of the first team, which requests ten times its
// share, use one router.
func simulateBusyRouter(seed uint64, routerCPU float64) lab.Result {
	const s = time.Second
	l := lab.GrownLoad(seed)
	l.Scale, l.Duration = 0.5, 24*s
	l.Surges = []lab.Surge{
		{Team: 0, Factor: 0.6, From: 0, To: 8 * s},
		{Team: 0, Factor: 4, From: 8 * s, To: 20 * s},
		{Team: 1, Factor: 4, From: 6 * s, To: 20 * s},
		{Team: 2, Factor: 9, From: 6 * s, To: 20 * s},
	}
	fleet := lab.Fleet{Engines: l.Sheet.Engines, Routers: busyRouterCount}
	fleet.EngineOutages = []lab.EngineOutage{{Engines: 3 * l.Sheet.Engines / 8, From: 10 * s, To: 14 * s}}
	for range busyRouterCount {
		fleet.RouterCPUs = append(fleet.RouterCPUs, routerCPU)
	}
	return lab.Simulate(l, fleet, lab.Home)
}

// Guards against a team on one small router getting less than half of another flooding team's service
// over six seconds. Refusals of its flood (ten times its share) use up the CPU, home replies arrive late,
// and the router sheds requests within the share (observed in the log lines "team" and "share": 3,734
// requests shed in one second, none submitted to the home, although the team was within its share).
func TestTeamAtABusyRouterGetsItsShare(t *testing.T) {
	g := NewWithT(t)
	for seed := range uint64(4) {
		g.Expect(simulateBusyRouter(seed, smallRouterCPU).FairnessRatio).To(BeNumerically(">", unfairRatio), "seed %d", seed)
	}
}

// The same flood on routers with spare CPU.
func TestTeamAtARouterWithTimeToSpareGetsItsShare(t *testing.T) {
	g := NewWithT(t)
	for seed := range uint64(4) {
		g.Expect(simulateBusyRouter(seed, 4*smallRouterCPU).FairnessRatio).To(BeNumerically(">", unfairRatio), "seed %d", seed)
	}
}
