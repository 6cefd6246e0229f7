package experiment

import (
	"math"
	"math/rand/v2"
	"time"
)

// Team is one team's part of a load.
type Team struct {
	Share float64
	// Demand is the offered load as a multiple of the team's owed part of the
	// slots, at the peak.
	Demand float64
	// Router is the only router that sees the team; -1 for all of them.
	Router int
}

// Load is a workload, drawn from a seed.
type Load struct {
	Name             string
	Seed             uint64
	Routers          int
	Upstreams        int
	SlotsPerUpstream int
	Teams            []Team
	// MeanCost is the mean of a request's cost in slot seconds; costs are
	// lognormal with Sigma.
	MeanCost, Sigma float64
	// PhaseLength is how long the peak and the half load last, by turns.
	PhaseLength time.Duration
	Duration    time.Duration
	// OneWay is the delay of a message between two routers.
	OneWay time.Duration
}

// Slots is the number of slots of all upstreams.
func (l Load) Slots() int { return l.Upstreams * l.SlotsPerUpstream }

// arrival is one request of the load.
type arrival struct {
	at     time.Duration
	team   int
	router int
	cost   float64
}

const (
	largeShare = 4
	// halfLoad is the part of the peak demand in the quiet phases.
	halfLoad = 0.4
	justFull = 0.98
)

// smallDemands are the offered loads of the small teams, in turn: two stay
// below what they are owed, two want more.
var smallDemands = []float64{0.4, 1.3, 0.8, 1.7}

func teams(n, large, routers int, largeDemand float64) []Team {
	all := make([]Team, n)
	for i := range all {
		if i < large {
			all[i] = Team{Share: largeShare, Demand: largeDemand, Router: -1}
			continue
		}
		all[i] = Team{Share: 1, Demand: smallDemands[i%len(smallDemands)], Router: i % routers}
	}
	return all
}

// Midlands is the brief's first fleet: 24 runners, 16 teams of which 3 large.
func Midlands(seed uint64, duration time.Duration) Load {
	return Load{
		Name: "midlands", Seed: seed, Routers: 7, Upstreams: 24, SlotsPerUpstream: 8,
		Teams: teams(16, 3, 7, 1.6), MeanCost: 1.3, Sigma: 1, PhaseLength: 20 * time.Second,
		Duration: duration, OneWay: 500 * time.Microsecond,
	}
}

// JustFull is the Midlands fleet whose teams together ask for a little less than
// there is: slots fall idle now and then beside a router with waiting requests.
// It is the worst case for control traffic.
func JustFull(seed uint64, duration time.Duration) Load {
	l := Midlands(seed, duration)
	l.Name, l.PhaseLength = "just-full", 0
	for i := range l.Teams {
		l.Teams[i].Demand = justFull
	}
	return l
}

// Vilaine is the brief's second fleet: 15 runners, longer delays.
func Vilaine(seed uint64, duration time.Duration) Load {
	return Load{
		Name: "vilaine", Seed: seed, Routers: 6, Upstreams: 15, SlotsPerUpstream: 8,
		Teams: teams(16, 3, 6, 1.6), MeanCost: 1.3, Sigma: 1, PhaseLength: 20 * time.Second,
		Duration: duration, OneWay: 1500 * time.Microsecond,
	}
}

// arrivals draws the requests in order of time.
func (l Load) arrivals() []arrival {
	var all []arrival
	shares := 0.0
	for _, t := range l.Teams {
		shares += t.Share
	}
	for i, t := range l.Teams {
		rng := rand.New(rand.NewPCG(l.Seed, uint64(i)+1))
		peak := t.Demand * t.Share / shares * float64(l.Slots()) / l.MeanCost
		all = append(all, l.teamArrivals(rng, i, t, peak)...)
	}
	sortArrivals(all)
	return all
}

func (l Load) teamArrivals(rng *rand.Rand, team int, t Team, peak float64) []arrival {
	var all []arrival
	at := time.Duration(0)
	for {
		rate := peak
		if l.PhaseLength > 0 && (at/l.PhaseLength)%2 == 1 {
			rate *= halfLoad
		}
		at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		if at >= l.Duration {
			return all
		}
		router := t.Router
		if router < 0 {
			router = rng.IntN(l.Routers)
		}
		all = append(all, arrival{at: at, team: team, router: router, cost: l.cost(rng)})
	}
}

// cost draws a lognormal cost with the load's mean.
func (l Load) cost(rng *rand.Rand) float64 {
	mu := math.Log(l.MeanCost) - l.Sigma*l.Sigma/2
	return math.Exp(mu + l.Sigma*rng.NormFloat64())
}
