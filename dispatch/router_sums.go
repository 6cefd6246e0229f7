package dispatch

import "time"

// routerSums are a team's tokens by router, with a decay over rateWindow. The zero value
// is empty.
type routerSums struct {
	sums map[uint64]*decaying
	// sweepFrom is the size at which those that ask no more are dropped.
	sweepFrom int
}

// leastSweep is the size up to which nothing is dropped: most teams' callers meet a few
// routers.
const leastSweep = 8

// of is a router's sum.
func (r *routerSums) of(now time.Duration, router uint64) *decaying {
	if found := r.sums[router]; found != nil {
		return found
	}
	if r.sums == nil {
		r.sums = map[uint64]*decaying{}
	}
	if len(r.sums) >= max(r.sweepFrom, leastSweep) {
		r.sweep(now)
	}
	added := &decaying{at: now}
	r.sums[router] = added
	return added
}

// sweep drops the routers through which nothing is asked any more, as callers move. It
// doubles the size at which it is due, so that an entry costs a constant time.
func (r *routerSums) sweep(now time.Duration) {
	for router, sum := range r.sums {
		if sum.value(now, rateWindow) < idleAccount {
			delete(r.sums, router)
		}
	}
	r.sweepFrom = 2 * len(r.sums)
}

// value is a router's sum at a moment.
func (r *routerSums) value(now time.Duration, router uint64) float64 {
	sum := r.sums[router]
	if sum == nil {
		return 0
	}
	return sum.value(now, rateWindow)
}
