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

// minReportedFraction is the fraction of an even division of what the group served from
// which on a team is reported. A team with less than half of it can't be above its share,
// which is at least an even division.
const minReportedFraction = 0.5

// UsageReport returns the local usage of the teams that other homes need: teams that wait
// for service and teams with high usage, by descending usage.
func (c *Core) UsageReport(now time.Duration) []TeamUsage {
	c.shares.refresh(now)
	threshold := minReportedFraction * c.shares.totalServed / float64(max(len(c.shares.accounts), 1))
	var out []TeamUsage
	for name, a := range c.shares.accounts {
		a.decay(now, c.shares.span())
		if a.served < minAccountTokens || a.served < threshold && !c.shares.isWaiting(now, a) {
			continue
		}
		out = append(out, TeamUsage{Team: name, Usage: Usage{Window: a.served, Recent: a.recent}})
	}
	slices.SortFunc(out, func(a, b TeamUsage) int {
		return cmp.Or(cmp.Compare(b.Usage.Window, a.Usage.Window), cmp.Compare(a.Team, b.Team))
	})
	return out
}

// LocalUsage returns what the group served to a team.
func (c *Core) LocalUsage(now time.Duration, team string) Usage {
	a := c.shares.accounts[team]
	if a == nil {
		return Usage{}
	}
	a.decay(now, c.shares.span())
	return Usage{Window: a.served, Recent: a.recent}
}

// SetRemoteUsage records what a team got from the other homes of the fleet.
func (c *Core) SetRemoteUsage(now time.Duration, team string, usage Usage) {
	if a := c.shares.accounts[team]; a != nil {
		a.decay(now, c.shares.span())
		a.remoteReport, a.remote = remoteReport{usage: usage, receivedAt: now}, usage
	}
}
