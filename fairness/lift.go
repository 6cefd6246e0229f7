package fairness

import (
	"math"
	"time"
)

// Activate lifts a team that begins to wait to the floor, less what it was behind
// the floor when it last ceased to wait here. What a team could have used and
// did not is no credit; what it was owed while it waited stays owed. Call it
// before the request is counted as waiting.
//
// Levels are compared, not keys: a team with nothing running must get its share
// of the slots beside the others, and not wait until they are ahead by as much.
//
// Without the second part a team whose queue empties for a moment would lose
// what it is behind, and its gap would grow each time.
func (a *Accounts) Activate(now time.Time, id TeamID) {
	acc := a.teams[id]
	if a.waits(acc) {
		return
	}
	a.raise(now, acc, a.floor(now, acc)-acc.lag)
}

// floor is the least weighted service among the other teams that wait, or the
// virtual time where none does.
func (a *Accounts) floor(now time.Time, but *account) float64 {
	floor := math.Inf(1)
	for _, other := range a.order {
		if other != but && a.waits(other) {
			floor = min(floor, a.level(now, other))
		}
	}
	if math.IsInf(floor, 1) {
		return a.virtualTime
	}
	return floor
}

// SetWaiting tells how many requests of the team wait here.
func (a *Accounts) SetWaiting(now time.Time, id TeamID, n int) {
	acc := a.teams[id]
	if n == 0 && acc.own.Waiting > 0 {
		acc.lag = max(a.floor(now, acc)-a.level(now, acc), 0)
	}
	acc.own.Waiting = n
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
			top = max(top, a.level(now, acc))
		}
	}
	floor := top - a.cfg.MaxLag*a.meanCost
	for _, acc := range a.order {
		if a.waits(acc) {
			a.raise(now, acc, floor)
		}
	}
}

// raise takes the team's level up to floor; it never lowers it.
func (a *Accounts) raise(now time.Time, acc *account, floor float64) {
	if missing := floor - a.level(now, acc); missing > 0 {
		acc.lift += missing * acc.share
	}
}

// waits reports whether the team has requests waiting anywhere.
func (a *Accounts) waits(acc *account) bool {
	return acc.own.Waiting > 0 || a.remoteWaiting(acc.id) > 0
}
