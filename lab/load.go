package lab

import (
	"math"
	"math/rand/v2"
	"time"
)

// Surge is a span in which one team asks for a multiple of its usual.
type Surge struct {
	// Team is the rank by size, 0 the largest.
	Team     int
	Factor   float64
	From, To time.Duration
}

// Load is a day's shape.
type Load struct {
	Sheet *Sheet
	// Scale multiplies the rates.
	Scale    float64
	Surges   []Surge
	Duration time.Duration
	Seed     uint64
	// MaxRetries is how often a caller that was refused comes back.
	MaxRetries int
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

// arrivals draws the requests of a load for a number of routers. A team's
// callers reach mostly one router, as they do behind a balancer that hashes.
func (l Load) arrivals(routers int) []arrival {
	rnd := rand.New(rand.NewPCG(l.Seed, l.Seed))
	weights := make([]float64, l.Sheet.Teams)
	total := 0.0
	for i := range weights {
		weights[i] = 1 / math.Pow(float64(i+1), l.Sheet.Skew)
		total += weights[i]
	}
	var out []arrival
	for c, class := range l.Sheet.Classes {
		for team, w := range weights {
			rate := class.PerSecond * l.Scale * w / total
			for at := time.Duration(0); at < l.Duration; {
				wait := gap(rnd, l.rate(rate, team, at))
				at += min(wait, longestGap)
				if wait > longestGap {
					continue
				}
				out = append(out, arrival{
					at: at, class: c, team: team, session: rnd.IntN(class.Sessions),
					own:    1 + int(lognormal(rnd, class.OwnTokens, 1)),
					output: 1 + int(min(lognormal(rnd, class.OutputTokens, 0.7), float64(class.MaxOutput))),
					router: (team + rnd.IntN(2)) % routers,
				})
			}
		}
	}
	return out
}

func (l Load) rate(usual float64, team int, at time.Duration) float64 {
	for _, h := range l.Surges {
		if team == h.Team && at >= h.From && at < h.To {
			usual *= h.Factor
		}
	}
	return usual
}

// longestGap is how far a draw looks ahead: rates change meanwhile. As arrivals
// have no memory, drawing anew from there changes nothing.
const longestGap = 200 * time.Millisecond

func gap(rnd *rand.Rand, rate float64) time.Duration {
	return time.Duration(rnd.ExpFloat64() / rate * float64(time.Second))
}

// lognormal draws with a mean and a spread of the logarithm.
func lognormal(rnd *rand.Rand, mean, spread float64) float64 {
	return mean * math.Exp(spread*rnd.NormFloat64()-spread*spread/2)
}
