package limits

import (
	"math"
	"time"
)

// arrivals holds exponentially decaying counts of the requests at a router, by team and in total.
type arrivals struct {
	teams map[string]*decayingCounter
	total decayingCounter
}

const (
	// arrivalDecayTime is the time constant of the decay. It covers a few hundred requests of
	// a team that overloads a router.
	arrivalDecayTime = 300 * time.Millisecond
	// maxTeams limits memory use, at about 60 bytes per team. The counts of all teams are
	// dropped when a new team would exceed it.
	maxTeams = 4096
	// heavyFraction is the fraction of a router's requests that makes a team heavy. A router
	// serves dozens of teams; one that sends a third of all requests is what delays the others.
	heavyFraction = 1.0 / 3
)

// add counts a request of a team and reports whether the team is heavy.
func (a *arrivals) add(now time.Duration, team string) (heavy bool) {
	counter := a.teams[team]
	if counter == nil {
		if a.teams == nil || len(a.teams) >= maxTeams {
			a.teams = map[string]*decayingCounter{}
		}
		counter = &decayingCounter{}
		a.teams[team] = counter
	}
	counter.add(now)
	a.total.add(now)
	return counter.value >= heavyFraction*a.total.value
}

// decayingCounter is a count that decays exponentially with the time constant arrivalDecayTime.
type decayingCounter struct {
	value     float64
	updatedAt time.Duration
}

func (d *decayingCounter) add(now time.Duration) {
	if now > d.updatedAt {
		d.value *= math.Exp(-float64(now-d.updatedAt) / float64(arrivalDecayTime))
		d.updatedAt = now
	}
	d.value++
}
