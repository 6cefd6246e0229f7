package dispatch

import (
	"math"
	"time"
)

// routers are those that ask for a team. The zero value has none.
type routers struct {
	all map[uint64]*teamRouter
	// sweepFrom is the size at which those that ask no more are dropped.
	sweepFrom int
}

// teamRouter is what a router asked for a team with a decay over rateWindow, and what it
// told that the team got through it from other homes.
type teamRouter struct {
	asked     decaying
	elsewhere Got
	toldAt    time.Duration
}

// told replaces what the router told before, and returns that as of now.
func (r *teamRouter) told(now, window time.Duration, elsewhere Got) (was Got) {
	passed := float64(now - r.toldAt)
	was = Got{
		Window: r.elsewhere.Window * math.Exp(-passed/float64(window)),
		Lately: r.elsewhere.Lately * math.Exp(-passed/float64(rateWindow)),
	}
	r.elsewhere, r.toldAt = elsewhere, now
	return was
}

// leastSweep is the size up to which nothing is dropped: most teams' callers meet a few
// routers.
const leastSweep = 8

// of is a router, added if it isn't known.
func (r *routers) of(now time.Duration, router uint64) *teamRouter {
	if found := r.all[router]; found != nil {
		return found
	}
	if r.all == nil {
		r.all = map[uint64]*teamRouter{}
	}
	if len(r.all) >= max(r.sweepFrom, leastSweep) {
		r.sweep(now)
	}
	added := &teamRouter{toldAt: now}
	r.all[router] = added
	return added
}

// sweep drops the routers through which nothing is asked any more, as callers move. It
// doubles the size at which it is due, so that an entry costs a constant time. What they
// told has decayed by then.
func (r *routers) sweep(now time.Duration) {
	for id, router := range r.all {
		if router.asked.value(now, rateWindow) < idleAccount {
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
	return found.asked.value(now, rateWindow)
}
