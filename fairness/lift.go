package fairness

import (
	"math"
	"time"
)

// Arrive lifts a team that begins to wait to the floor: the least weighted
// service among the teams that wait, or the virtual time where none does. What
// a team could have used and did not is no credit. Call it before the request
// is counted as waiting.
func (a *Accounts) Arrive(now time.Time, id TeamID) {
	acc := a.teams[id]
	if a.waits(acc) {
		return
	}
	floor := math.Inf(1)
	for _, other := range a.order {
		if other != acc && a.waits(other) {
			floor = min(floor, a.key(now, other))
		}
	}
	if math.IsInf(floor, 1) {
		floor = a.virtualTime
	}
	a.raise(now, acc, floor)
}

// ClampLag lifts every waiting team that is more than MaxLag behind the best
// served waiting team.
//
// Without it the gap that two halves of a cut fleet built up would be repaid at
// once after the rejoin: the team that was ahead would get nothing until then.
func (a *Accounts) ClampLag(now time.Time) {
	top := math.Inf(-1)
	for _, acc := range a.order {
		if a.waits(acc) {
			top = max(top, a.key(now, acc))
		}
	}
	floor := top - a.cfg.MaxLag*a.unit()
	for _, acc := range a.order {
		if a.waits(acc) {
			a.raise(now, acc, floor)
		}
	}
}

// raise takes the team's key up to floor; it never lowers it.
func (a *Accounts) raise(now time.Time, acc *account, floor float64) {
	if missing := floor - a.key(now, acc); missing > 0 {
		acc.lift += missing * acc.share
	}
}

// waits reports whether the team has requests waiting anywhere.
func (a *Accounts) waits(acc *account) bool {
	return acc.own.Waiting > 0 || a.remoteWaiting(acc.id) > 0
}
