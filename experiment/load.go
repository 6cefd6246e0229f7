package experiment

import (
	"math"
	"math/rand/v2"
	"time"
)

// Team is a team's share, demand and routers.
type Team struct {
	Share float64
	// Demand is the team's offered load at the peak, as a multiple of its fair share of the slots.
	Demand float64
	// Router is the only router that the team's callers use, or -1 for all routers.
	Router int
}

// Load is a random workload, determined by its seed.
type Load struct {
	Name             string
	Seed             uint64
	Routers          int
	Upstreams        int
	SlotsPerUpstream int
	Teams            []Team
	// MeanCost is the mean cost of a request in slot seconds; costs are lognormal with Sigma.
	MeanCost, Sigma float64
	// PhaseLength is the length of the alternating peak and off-peak phases; 0 means always peak.
	PhaseLength time.Duration
	Duration    time.Duration
	// OneWay is the delay of a message between two routers.
	OneWay time.Duration
}

// Slots returns the number of slots of all upstreams.
func (l Load) Slots() int { return l.Upstreams * l.SlotsPerUpstream }

// arrival is one request of the load.
type arrival struct {
	at     time.Duration
	team   int
	router int
	cost   float64
}

const (
	largeTeamShare = 4
	// offPeakFactor is the off-peak demand as a fraction of the peak demand.
	offPeakFactor  = 0.4
	justFullDemand = 0.98
)

// smallTeamDemands are the demands of the small teams, assigned in turn: two are below the
// fair share, two above.
var smallTeamDemands = []float64{0.4, 1.3, 0.8, 1.7}

func newTeams(n, large, routers int, largeDemand float64) []Team {
	all := make([]Team, n)
	for i := range all {
		if i < large {
			all[i] = Team{Share: largeTeamShare, Demand: largeDemand, Router: -1}
			continue
		}
		all[i] = Team{Share: 1, Demand: smallTeamDemands[i%len(smallTeamDemands)], Router: i % routers}
	}
	return all
}

// Midlands is a fleet of 24 runners and 16 teams, 3 of them large.
func Midlands(seed uint64, duration time.Duration) Load {
	return Load{
		Name: "midlands", Seed: seed, Routers: 7, Upstreams: 24, SlotsPerUpstream: 8,
		Teams: newTeams(16, 3, 7, 1.6), MeanCost: 1.3, Sigma: 1, PhaseLength: 20 * time.Second,
		Duration: duration, OneWay: 500 * time.Microsecond,
	}
}

// JustFull is the Midlands fleet with a total demand slightly below the capacity: now and
// then slots are idle while another router has waiting requests. It is the worst case for
// control traffic.
func JustFull(seed uint64, duration time.Duration) Load {
	l := Midlands(seed, duration)
	l.Name, l.PhaseLength = "just-full", 0
	for i := range l.Teams {
		l.Teams[i].Demand = justFullDemand
	}
	return l
}

// Vilaine is a fleet of 15 runners with longer message delays.
func Vilaine(seed uint64, duration time.Duration) Load {
	return Load{
		Name: "vilaine", Seed: seed, Routers: 6, Upstreams: 15, SlotsPerUpstream: 8,
		Teams: newTeams(16, 3, 6, 1.6), MeanCost: 1.3, Sigma: 1, PhaseLength: 20 * time.Second,
		Duration: duration, OneWay: 1500 * time.Microsecond,
	}
}

// arrivals draws the requests, sorted by time.
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
			rate *= offPeakFactor
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
