package fairness

import (
	"math"
	"time"
)

// Activate raises the normalized service of a team that becomes backlogged to
// the floor, minus the lag behind the floor that the team had when its queue
// here last emptied. A team gets no credit for service that it didn't request;
// service that it was owed while requests waited stays owed. Call it before the
// request is counted as waiting.
//
// It compares normalized service rather than keys: a team with nothing running
// must get its share of the slots alongside the others, and not only once they
// are ahead by the precharge.
//
// Without the lag term, a team whose queue empties for a moment would lose what
// it is owed, and its gap would grow each time.
func (a *Accounts) Activate(now time.Time, id TeamID) {
	acc := a.teams[id]
	if a.backlogged(acc) {
		return
	}
	a.raise(now, acc, a.floor(now, acc)-acc.lag)
}

// floor is the lowest normalized service among the other backlogged teams, or
// the virtual time if there are none.
func (a *Accounts) floor(now time.Time, except *account) float64 {
	floor := math.Inf(1)
	for _, other := range a.sorted {
		if other != except && a.backlogged(other) {
			floor = min(floor, a.normalizedService(now, other))
		}
	}
	if math.IsInf(floor, 1) {
		return a.virtualTime
	}
	return floor
}

// SetWaiting sets the number of the team's requests that wait here.
func (a *Accounts) SetWaiting(now time.Time, id TeamID, n int) {
	acc := a.teams[id]
	if n == 0 && acc.own.Waiting > 0 {
		acc.lag = max(a.floor(now, acc)-a.normalizedService(now, acc), 0)
	}
	acc.own.Waiting = n
}

// ClampLag raises every backlogged team that is more than MaxLag behind the best
// served backlogged team.
//
// Without it, the gap that grew between the two sides of a partition would be
// repaid at once after they rejoin: the team that was ahead would get no service
// until then.
func (a *Accounts) ClampLag(now time.Time) {
	top := math.Inf(-1)
	for _, acc := range a.sorted {
		if a.backlogged(acc) {
			top = max(top, a.normalizedService(now, acc))
		}
	}
	floor := top - a.cfg.MaxLag*a.meanCost
	for _, acc := range a.sorted {
		if a.backlogged(acc) {
			a.raise(now, acc, floor)
		}
	}
}

// raise lifts the team's normalized service to floor; it never lowers it.
func (a *Accounts) raise(now time.Time, acc *account, floor float64) {
	if deficit := floor - a.normalizedService(now, acc); deficit > 0 {
		acc.lift += deficit * acc.share
	}
}

// backlogged reports whether the team has requests waiting at any router.
func (a *Accounts) backlogged(acc *account) bool {
	return acc.own.Waiting > 0 || a.remoteWaiting(acc.id) > 0
}
