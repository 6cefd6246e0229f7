package dispatch

import "time"

// routers are those that ask for a team, each with what it asked for with a decay over
// rateWindow. The zero value has none.
type routers struct {
	all map[uint64]*decaying
	// sweepFrom is the size at which those that ask no more are dropped.
	sweepFrom int
}

// leastSweep is the size up to which nothing is dropped: most teams' callers meet a few
// routers.
const leastSweep = 8

// of is what a router asked lately, added if it isn't known.
func (r *routers) of(now time.Duration, router uint64) *decaying {
	if found := r.all[router]; found != nil {
		return found
	}
	if r.all == nil {
		r.all = map[uint64]*decaying{}
	}
	if len(r.all) >= max(r.sweepFrom, leastSweep) {
		r.sweep(now)
	}
	added := &decaying{at: now}
	r.all[router] = added
	return added
}

// sweep drops the routers through which nothing is asked any more, as callers move. It
// doubles the size at which it is due, so that an entry costs a constant time.
func (r *routers) sweep(now time.Duration) {
	for id, asked := range r.all {
		if asked.value(now, rateWindow) < idleAccount {
			delete(r.all, id)
		}
	}
	r.sweepFrom = 2 * len(r.all)
}

// asked is what a router asked lately.
func (r *routers) asked(now time.Duration, router uint64) float64 {
	found := r.all[router]
	if found == nil {
		return 0
	}
	return found.value(now, rateWindow)
}
