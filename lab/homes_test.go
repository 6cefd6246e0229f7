package lab_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/aspenswitch/aspenswitch/lab"
)

const (
	// manyRouters and manyHomes are those of a fleet of hundreds of VMs.
	manyRouters, manyHomes = 295, 8
	// enginesOfHome keeps the play short.
	enginesOfHome = 5
	// fairPart is what no waiting team may fall below of another's, over six seconds.
	fairPart = 0.6
	// ample is a processor so fast that its time doesn't count.
	ample = 1000
)

// floodsOverManyHomes is a day on which four teams ask for several times their share.
// The callers of two meet all routers, those of the others one each.
func floodsOverManyHomes(seed uint64) lab.Result {
	const s = time.Second
	l := lab.GrownLoad(seed)
	engines := manyHomes * enginesOfHome
	l.Scale, l.Duration = 0.5*float64(engines)/float64(l.Sheet.Engines), 20*s
	l.Surges = []lab.Surge{
		{Team: 0, Factor: 2, From: 4 * s, To: 20 * s},
		{Team: 1, Factor: 4, From: 4 * s, To: 20 * s},
		{Team: 2, Factor: 6, From: 4 * s, To: 20 * s},
		{Team: 3, Factor: 8, From: 4 * s, To: 20 * s},
	}
	shape := lab.Fleet{Engines: engines, Routers: manyRouters, Homes: manyHomes, SpreadTeams: []int{0, 2}}
	for range manyRouters {
		shape.RouterCPUs = append(shape.RouterCPUs, ample)
	}
	return lab.Simulate(l, shape, lab.Home)
}

// Guards against teams behind one router that get a part of what widely spread teams get.
func TestTeamsOfOneRouterGetAsMuchAsTeamsOfAll(t *testing.T) {
	g := NewWithT(t)
	for seed := range uint64(3) {
		r := floodsOverManyHomes(seed)
		g.Expect(r.FairnessRatio).To(BeNumerically(">", fairPart), "seed %d", seed)
	}
}
