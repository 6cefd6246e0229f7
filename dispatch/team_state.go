package dispatch

import (
	"cmp"
	"slices"
	"time"
)

// TeamState is a team's account, in tokens.
type TeamState struct {
	Team string `json:"team"`
	// Requested and Served are sums that decay over the share's window, Recent is what was
	// served with a decay over a second.
	Requested float64 `json:"asked"`
	Served    float64 `json:"served"`
	Recent    float64 `json:"lately"`
	// Remote is what the team is taken to have got from other homes, as Served.
	Remote float64 `json:"elsewhere"`
	// RequestedTotal and ServedTotal are sums of this group since the account began.
	RequestedTotal float64 `json:"askedAll"`
	ServedTotal    float64 `json:"servedAll"`
	// OverShare is set if the team had more than its share.
	OverShare bool `json:"over"`
}

// Teams returns teams' accounts, the one that asked for most first.
func (c *Core) Teams(now time.Duration, most int) []TeamState {
	all := make([]TeamState, 0, len(c.teams.teams))
	for name, a := range c.teams.teams {
		a.decay(now, c.teams.window)
		all = append(all, TeamState{
			Team: name, Requested: a.asked, Served: a.served, Recent: a.lately, Remote: a.elsewhere.Window, RequestedTotal: a.askedAll, ServedTotal: a.servedAll,
		})
	}
	slices.SortFunc(all, func(a, b TeamState) int {
		return cmp.Or(cmp.Compare(b.Requested, a.Requested), cmp.Compare(a.Team, b.Team))
	})
	all = all[:min(most, len(all))]
	for i := range all {
		all[i].OverShare = c.teams.standing(now, all[i].Team) == over
	}
	return all
}
