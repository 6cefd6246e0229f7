package dispatch

import (
	"cmp"
	"slices"
	"time"
)

// TeamGot is what a team got from a group's engines.
type TeamGot struct {
	Team string
	Got  Got
}

// toldPart is the part of an even division of what the group served from which on a team
// is told of: below half of it a team can't be above its share, which is no less than an
// even division.
const toldPart = 0.5

// Tell returns what the group gave to the teams of which other homes must know: those
// that wait, and those that got much. The one that got most comes first.
func (c *Core) Tell(now time.Duration) []TeamGot {
	c.teams.refresh(now)
	least := toldPart * c.teams.got / float64(max(len(c.teams.teams), 1))
	var out []TeamGot
	for name, a := range c.teams.teams {
		a.decay(now, c.teams.window)
		if a.served < idleAccount || a.served < least && !c.teams.waits(now, a) {
			continue
		}
		out = append(out, TeamGot{Team: name, Got: Got{Window: a.served, Lately: a.lately}})
	}
	slices.SortFunc(out, func(a, b TeamGot) int {
		return cmp.Or(cmp.Compare(b.Got.Window, a.Got.Window), cmp.Compare(a.Team, b.Team))
	})
	return out
}

// Served is what the group gave to a team.
func (c *Core) Served(now time.Duration, team string) Got {
	a := c.teams.teams[team]
	if a == nil {
		return Got{}
	}
	a.decay(now, c.teams.window)
	return Got{Window: a.served, Lately: a.lately}
}

// Elsewhere takes in what a team got from the other homes of the fleet.
func (c *Core) Elsewhere(now time.Duration, team string, got Got) {
	if a := c.teams.teams[team]; a != nil {
		a.decay(now, c.teams.window)
		a.told, a.elsewhere = told{got: got, at: now}, got
	}
}
