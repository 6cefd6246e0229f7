package dispatch

import (
	"cmp"
	"slices"
	"time"
)

// TeamState is a team's account, in tokens.
type TeamState struct {
	Team string `json:"team"`
	// Asked and Served are sums that decay over the share's window, Lately is what was
	// served with a decay over a second.
	Asked  float64 `json:"asked"`
	Served float64 `json:"served"`
	Lately float64 `json:"lately"`
	// Elsewhere is what the team is taken to have got from other homes, as Served.
	Elsewhere float64 `json:"elsewhere"`
	// AskedAll and ServedAll are sums of this group since the account began.
	AskedAll  float64 `json:"askedAll"`
	ServedAll float64 `json:"servedAll"`
	// Over is set if the team had more than its share.
	Over bool `json:"over"`
}

// Teams returns teams' accounts, the one that asked for most first.
func (c *Core) Teams(now time.Duration, most int) []TeamState {
	all := make([]TeamState, 0, len(c.teams.teams))
	for name, a := range c.teams.teams {
		a.decay(now, c.teams.window)
		all = append(all, TeamState{
			Team: name, Asked: a.asked, Served: a.served, Lately: a.lately, Elsewhere: a.elsewhere.Window, AskedAll: a.askedAll, ServedAll: a.servedAll,
		})
	}
	slices.SortFunc(all, func(a, b TeamState) int {
		return cmp.Or(cmp.Compare(b.Asked, a.Asked), cmp.Compare(a.Team, b.Team))
	})
	all = all[:min(most, len(all))]
	for i := range all {
		all[i].Over = c.teams.standing(now, all[i].Team) == over
	}
	return all
}
