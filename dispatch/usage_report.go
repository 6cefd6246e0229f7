package dispatch

import (
	"cmp"
	"slices"
	"time"
)

// TeamUsage is what a team got from a group's engines.
type TeamUsage struct {
	Team  string
	Usage Usage
}

// toldPart is the part of an even division of what the group served from which on a team
// is told of: below half of it a team can't be above its share, which is no less than an
// even division.
const toldPart = 0.5

// UsageReport returns what the group gave to the teams of which other homes must know: those
// that wait, and those that got much. The one that got most comes first.
func (c *Core) UsageReport(now time.Duration) []TeamUsage {
	c.teams.refresh(now)
	least := toldPart * c.teams.got / float64(max(len(c.teams.teams), 1))
	var out []TeamUsage
	for name, a := range c.teams.teams {
		a.decay(now, c.teams.window)
		if a.served < idleAccount || a.served < least && !c.teams.waits(now, a) {
			continue
		}
		out = append(out, TeamUsage{Team: name, Usage: Usage{Window: a.served, Recent: a.lately}})
	}
	slices.SortFunc(out, func(a, b TeamUsage) int {
		return cmp.Or(cmp.Compare(b.Usage.Window, a.Usage.Window), cmp.Compare(a.Team, b.Team))
	})
	return out
}

// LocalUsage is what the group gave to a team.
func (c *Core) LocalUsage(now time.Duration, team string) Usage {
	a := c.teams.teams[team]
	if a == nil {
		return Usage{}
	}
	a.decay(now, c.teams.window)
	return Usage{Window: a.served, Recent: a.lately}
}

// SetRemoteUsage takes in what a team got from the other homes of the fleet.
func (c *Core) SetRemoteUsage(now time.Duration, team string, got Usage) {
	if a := c.teams.teams[team]; a != nil {
		a.decay(now, c.teams.window)
		a.told, a.elsewhere = told{got: got, at: now}, got
	}
}
