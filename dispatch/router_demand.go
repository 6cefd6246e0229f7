package dispatch

import "time"

// routerDemand holds the tokens that each router requested for a team, with a decay over
// the share window. The zero value is empty.
type routerDemand struct {
	byRouter map[uint64]*decayingSum
	// sweepSize is the number of entries at which idle routers are removed.
	sweepSize int
}

// minSweepSize is the number of entries below which no sweep runs. The callers of most
// teams use only a few routers.
const minSweepSize = 8

// add records tokens that a router requests.
func (r *routerDemand) add(now, window time.Duration, router uint64, tokens float64) {
	found := r.byRouter[router]
	if found == nil {
		found = r.insert(now, window, router)
	}
	found.add(now, window, tokens)
}

func (r *routerDemand) insert(now, window time.Duration, router uint64) *decayingSum {
	if r.byRouter == nil {
		r.byRouter = map[uint64]*decayingSum{}
	}
	if len(r.byRouter) >= max(r.sweepSize, minSweepSize) {
		r.sweep(now, window)
	}
	added := &decayingSum{updatedAt: now}
	r.byRouter[router] = added
	return added
}

// sweep removes routers that no longer send requests for the team, because callers move
// between routers. The next sweep is due at twice the remaining size, so that the
// amortized cost of an entry is constant.
func (r *routerDemand) sweep(now, window time.Duration) {
	for id, requested := range r.byRouter {
		if requested.value(now, window) < minAccountTokens {
			delete(r.byRouter, id)
		}
	}
	r.sweepSize = 2 * len(r.byRouter)
}

// count returns the number of routers that request for the team, at least 1.
func (r *routerDemand) count() int { return max(len(r.byRouter), 1) }

// requested returns the tokens that a router requested within the window.
func (r *routerDemand) requested(now, window time.Duration, router uint64) float64 {
	found := r.byRouter[router]
	if found == nil {
		return 0
	}
	return found.value(now, window)
}
