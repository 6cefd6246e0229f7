package dispatch

import "time"

// routers are those that ask for a team, each with what it asked for with a decay over
// the window of shares. The zero value has none.
type routers struct {
	all map[uint64]*decaying
	// sweepFrom is the size at which those that ask no more are dropped.
	sweepFrom int
}

// leastSweep is the size up to which nothing is dropped: most teams' callers meet a few
// routers.
const leastSweep = 8

// add notes what a router asks.
func (r *routers) add(now, window time.Duration, router uint64, tokens float64) {
	found := r.all[router]
	if found == nil {
		found = r.newRouter(now, window, router)
	}
	found.add(now, window, tokens)
}

func (r *routers) newRouter(now, window time.Duration, router uint64) *decaying {
	if r.all == nil {
		r.all = map[uint64]*decaying{}
	}
	if len(r.all) >= max(r.sweepFrom, leastSweep) {
		r.sweep(now, window)
	}
	added := &decaying{at: now}
	r.all[router] = added
	return added
}

// sweep drops the routers through which nothing is asked any more, as callers move. It
// doubles the size at which it is due, so that an entry costs a constant time.
func (r *routers) sweep(now, window time.Duration) {
	for id, asked := range r.all {
		if asked.value(now, window) < idleAccount {
			delete(r.all, id)
		}
	}
	r.sweepFrom = 2 * len(r.all)
}

// count is how many routers ask for the team, one at the least.
func (r *routers) count() int { return max(len(r.all), 1) }

// asked is what a router asked within the window.
func (r *routers) asked(now, window time.Duration, router uint64) float64 {
	found := r.all[router]
	if found == nil {
		return 0
	}
	return found.value(now, window)
}
