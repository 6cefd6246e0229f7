package limits

import (
	"math"
	"time"
)

// arrivals counts teams' requests at a router, with a decay.
type arrivals struct {
	teams map[string]*decaying
	all   decaying
}

const (
	// arrivalWindow is the span over which arrivals are remembered: some hundred
	// requests of a team that holds a router up.
	arrivalWindow = 300 * time.Millisecond
	// mostTeams bounds the memory, at some 60 bytes a team.
	mostTeams = 4096
	// heavyPart is the part of a router's requests that makes a team heavy. A router of
	// a fleet serves dozens of teams; one that asks for a third of all is what holds the
	// others up.
	heavyPart = 1.0 / 3
)

// add notes a team's request and reports whether the team is heavy.
func (a *arrivals) add(now time.Duration, team string) (heavy bool) {
	d := a.teams[team]
	if d == nil {
		if a.teams == nil || len(a.teams) >= mostTeams {
			a.teams = map[string]*decaying{}
		}
		d = &decaying{}
		a.teams[team] = d
	}
	d.add(now)
	a.all.add(now)
	return d.n >= heavyPart*a.all.n
}

// decaying is a count that loses its weight over arrivalWindow.
type decaying struct {
	n  float64
	at time.Duration
}

func (d *decaying) add(now time.Duration) {
	if now > d.at {
		d.n *= math.Exp(-float64(now-d.at) / float64(arrivalWindow))
		d.at = now
	}
	d.n++
}
