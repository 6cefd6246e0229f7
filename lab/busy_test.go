package lab_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/aspenswitch/aspenswitch/lab"
)

const (
	// busyRouters is the number of routers before one home's part of a grown deployment.
	busyRouters = 24
	// smallProcessor is a quarter of 0.25 cores: the lab plays one home of four, and with
	// it a quarter of what the router gets.
	smallProcessor = 0.0625
	// unfair is the part of what another team got below which users call it unfair.
	unfair = 0.5
)

// busyRouter is a day on which three teams flood and three of eight engines are lost for
// four seconds. All callers of the first, which asks for ten times its share, meet one
// router.
func busyRouter(seed uint64, processor float64) lab.Result {
	const s = time.Second
	l := lab.GrownLoad(seed)
	l.Scale, l.Duration = 0.5, 24*s
	l.Surges = []lab.Surge{
		{Team: 0, Factor: 0.6, From: 0, To: 8 * s},
		{Team: 0, Factor: 4, From: 8 * s, To: 20 * s},
		{Team: 1, Factor: 4, From: 6 * s, To: 20 * s},
		{Team: 2, Factor: 9, From: 6 * s, To: 20 * s},
	}
	shape := lab.Fleet{Engines: l.Sheet.Engines, Routers: busyRouters}
	shape.EngineOutages = []lab.EngineOutage{{Engines: 3 * l.Sheet.Engines / 8, From: 10 * s, To: 14 * s}}
	for range busyRouters {
		shape.RouterCPUs = append(shape.RouterCPUs, processor)
	}
	return lab.Simulate(l, shape, lab.Home)
}

// A team's callers all meet one small router and ask for ten times the team's share.
// Over six seconds the team gets less than half of what another flooding team gets,
// whose router has time to spare. Refusing takes the router's processor, so that homes'
// answers come late; then it refuses by itself what the share would let in (lines team
// and share: 3,734 requests in a second, none asked for, the team within its share).
func TestTeamAtABusyRouterGetsItsShare(t *testing.T) {
	g := NewWithT(t)
	for seed := range uint64(4) {
		g.Expect(busyRouter(seed, smallProcessor).FairnessRatio).To(BeNumerically(">", unfair), "seed %d", seed)
	}
}

// The same flood at routers with time to spare.
func TestTeamAtARouterWithTimeToSpareGetsItsShare(t *testing.T) {
	g := NewWithT(t)
	for seed := range uint64(4) {
		g.Expect(busyRouter(seed, 4*smallProcessor).FairnessRatio).To(BeNumerically(">", unfair), "seed %d", seed)
	}
}
