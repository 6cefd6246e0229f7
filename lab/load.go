package lab

import (
	"math"
	"math/rand/v2"
	"time"
)

// Surge is a period in which one team, or all of them, request a multiple of their base rate.
type Surge struct {
	// Team is the rank by size, 0 for the largest, or AllTeams.
	Team     int
	Factor   float64
	From, To time.Duration
}

// AllTeams is the Team of a surge of all teams.
const AllTeams = -1

// Load describes the requests of one simulation.
type Load struct {
	Sheet *Sheet
	// Scale multiplies all request rates.
	Scale    float64
	Surges   []Surge
	Duration time.Duration
	Seed     uint64
	// MaxRetries is how often a refused caller retries.
	MaxRetries int
	// RetryDelay is the time that a retry takes in addition to its Retry-After: connections and
	// the messages between caller and router.
	RetryDelay time.Duration
}

// arrival is one request of a load.
type arrival struct {
	at           time.Duration
	class        int
	team         int
	session      int
	ownTokens    int
	outputTokens int
	router       int
}

// arrivals draws the requests of a load for a number of routers. A team's callers use two
// neighbouring routers (one if there is only one), similar to a load balancer that hashes by team.
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
				interval := nextInterval(rnd, l.rate(rate, team, at))
				at += min(interval, maxDrawInterval)
				if interval > maxDrawInterval {
					continue
				}
				out = append(out, arrival{
					at: at, class: c, team: team, session: rnd.IntN(class.Sessions),
					ownTokens:    1 + int(lognormal(rnd, class.OwnTokens, 1)),
					outputTokens: 1 + int(min(lognormal(rnd, class.OutputTokens, 0.7), float64(class.MaxOutput))),
					router:       (team + rnd.IntN(2)) % routers,
				})
			}
		}
	}
	return out
}

func (l Load) rate(base float64, team int, at time.Duration) float64 {
	for _, surge := range l.Surges {
		if (team == surge.Team || surge.Team == AllTeams) && at >= surge.From && at < surge.To {
			base *= surge.Factor
		}
	}
	return base
}

// maxDrawInterval bounds how far one draw looks ahead, as rates change over time. Arrivals are
// memoryless, so drawing again from that point doesn't change the distribution.
const maxDrawInterval = 200 * time.Millisecond

func nextInterval(rnd *rand.Rand, rate float64) time.Duration {
	return time.Duration(rnd.ExpFloat64() / rate * float64(time.Second))
}

// lognormal draws a value with the given mean; spread is the standard deviation of its logarithm.
func lognormal(rnd *rand.Rand, mean, spread float64) float64 {
	return mean * math.Exp(spread*rnd.NormFloat64()-spread*spread/2)
}
