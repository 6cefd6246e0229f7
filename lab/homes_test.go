package lab_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/aspenswitch/aspenswitch/lab"
)

const (
	// manyRouters and manyHomes are the sizes of a fleet of hundreds of VMs.
	manyRouters, manyHomes = 295, 8
	// enginesPerHome is small to keep the simulation short.
	enginesPerHome = 5
	// minFairnessRatio is the least service of a waiting team, as a fraction of another team's,
	// over six seconds.
	minFairnessRatio = 0.6
	// unlimitedCPU is a router CPU so fast that its time is negligible.
	unlimitedCPU = 1000
)

// simulateManyHomes simulates four teams that request several times their share. The callers
// of two of them use all routers, those of the others one router each.
func simulateManyHomes(seed uint64) lab.Result {
	const s = time.Second
	l := lab.GrownLoad(seed)
	engines := manyHomes * enginesPerHome
	l.Scale, l.Duration = 0.5*float64(engines)/float64(l.Sheet.Engines), 20*s
	l.Surges = []lab.Surge{
		{Team: 0, Factor: 2, From: 4 * s, To: 20 * s},
		{Team: 1, Factor: 4, From: 4 * s, To: 20 * s},
		{Team: 2, Factor: 6, From: 4 * s, To: 20 * s},
		{Team: 3, Factor: 8, From: 4 * s, To: 20 * s},
	}
	fleet := lab.Fleet{Engines: engines, Routers: manyRouters, Homes: manyHomes, SpreadTeams: []int{0, 2}}
	for range manyRouters {
		fleet.RouterCPUs = append(fleet.RouterCPUs, unlimitedCPU)
	}
	return lab.Simulate(l, fleet, lab.Home)
}

// Guards against teams behind one router getting only a fraction of the service of teams
// that use all routers.
func TestTeamsOfOneRouterGetAsMuchAsTeamsOfAll(t *testing.T) {
	g := NewWithT(t)
	for seed := range uint64(3) {
		r := simulateManyHomes(seed)
		g.Expect(r.FairnessRatio).To(BeNumerically(">", minFairnessRatio), "seed %d", seed)
	}
}
