package lab

import (
	"math"
	"math/rand/v2"
	"time"
)

// Class is a kind of request of the users' sheet.
type Class struct {
	Name string
	// PerSecond is how many arrive on a usual day.
	PerSecond float64
	// Group and Session are the mean tokens of the two shared parts, Own of the
	// request's part; Groups and Sessions how many of each there are.
	Group, Session, Own float64
	Groups, Sessions    int
	// Output is the mean number of tokens generated.
	Output float64
	// MaxOutput is what the request says.
	MaxOutput      int
	Aim, Deadline  time.Duration
	Worth, Lateful float64
}

// Midlands is the sheet of the smaller deployment with eighteen engines.
func Midlands() []Class {
	return []Class{
		{"plan", 74.2, 2520, 3780, 2890, 4, 116, 52, 208, 800 * time.Millisecond, 6 * time.Second, 3.8, 1.9},
		{"check", 94.3, 341, 227, 1800, 20, 148, 23, 90, 500 * time.Millisecond, 4 * time.Second, 2, 0.99},
		{"notes", 76.8, 103, 69, 543, 20, 181, 280, 738, 400 * time.Millisecond, 15 * time.Second, 0.55, 0.27},
	}
}

// Load is a day's shape.
type Load struct {
	Classes []Class
	// Scale multiplies the rates; HotTeam multiplies one team's between HotFrom
	// and HotTo.
	Scale          float64
	HotTeam        float64
	HotFrom, HotTo time.Duration
	Length         time.Duration
	Seed           uint64
}

// arrival is one request of a load.
type arrival struct {
	at      time.Duration
	class   int
	team    int
	session int
	own     int
	output  int
	router  int
}

const (
	// teams of the sheet; their sizes fall as the rank to the power of teamSkew.
	teams    = 16
	teamSkew = 1.8
	// hotRank is the team that floods.
	hotRank = 1
)

// arrivals draws the requests of a load for a number of routers. A team's
// callers reach mostly one router, as they do behind a balancer that hashes.
func (l Load) arrivals(routers int) []arrival {
	rnd := rand.New(rand.NewPCG(l.Seed, l.Seed))
	weights := make([]float64, teams)
	total := 0.0
	for i := range weights {
		weights[i] = 1 / math.Pow(float64(i+1), teamSkew)
		total += weights[i]
	}
	var out []arrival
	for c, class := range l.Classes {
		for team, w := range weights {
			rate := class.PerSecond * l.Scale * w / total
			for at := gap(rnd, rate); at < l.Length; at += gap(rnd, l.rate(rate, team, at)) {
				out = append(out, arrival{
					at: at, class: c, team: team, session: rnd.IntN(class.Sessions),
					own:    1 + int(lognormal(rnd, class.Own, 1)),
					output: 1 + int(min(lognormal(rnd, class.Output, 0.7), float64(class.MaxOutput))),
					router: (team + rnd.IntN(2)) % routers,
				})
			}
		}
	}
	return out
}

func (l Load) rate(usual float64, team int, at time.Duration) float64 {
	if team == hotRank && at >= l.HotFrom && at < l.HotTo {
		return usual * l.HotTeam
	}
	return usual
}

func gap(rnd *rand.Rand, rate float64) time.Duration {
	return time.Duration(rnd.ExpFloat64() / rate * float64(time.Second))
}

// lognormal draws with a mean and a spread of the logarithm.
func lognormal(rnd *rand.Rand, mean, spread float64) float64 {
	return mean * math.Exp(spread*rnd.NormFloat64()-spread*spread/2)
}
