package dispatch

import (
	"cmp"
	"slices"
	"time"
)

// TeamState is a team's account, in tokens.
type TeamState struct {
	Team string `json:"team"`
	// Requested and Served are sums that decay over the share window; Recent is what was
	// served, with a decay over one second.
	Requested float64 `json:"asked"`
	Served    float64 `json:"served"`
	Recent    float64 `json:"lately"`
	// Remote is the estimate of what the team got from other homes, decayed like Served.
	Remote float64 `json:"elsewhere"`
	// RequestedTotal and ServedTotal are sums over this group since the account was
	// created.
	RequestedTotal float64 `json:"askedAll"`
	ServedTotal    float64 `json:"servedAll"`
	// OverShare is set if the team got more than its share of the fleet.
	OverShare bool `json:"over"`
}

// Teams returns the accounts of at most limit teams, by descending demand.
func (c *Core) Teams(now time.Duration, limit int) []TeamState {
	states := make([]TeamState, 0, len(c.shares.accounts))
	for name, a := range c.shares.accounts {
		a.decay(now, c.shares.span())
		states = append(states, TeamState{
			Team: name, Requested: a.requested, Served: a.served, Recent: a.recent, Remote: a.remote.Window, RequestedTotal: a.requestedTotal, ServedTotal: a.servedTotal,
		})
	}
	slices.SortFunc(states, func(a, b TeamState) int {
		return cmp.Or(cmp.Compare(b.Requested, a.Requested), cmp.Compare(a.Team, b.Team))
	})
	states = states[:min(limit, len(states))]
	for i := range states {
		states[i].OverShare = c.shares.shareStatus(now, states[i].Team) == overFleetShare
	}
	return states
}
