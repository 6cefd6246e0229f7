package dispatch

import "time"

// routerDemand holds the tokens that each router requested for a team. The zero value is empty.
type routerDemand struct {
	byRouter map[uint64]*requestedTokens
	// total is the sum over all routers.
	total requestedTokens
	// sweepSize is the number of entries at which idle routers are removed.
	sweepSize int
}

// requestedTokens are tokens as sums that decay over the share window and over movedWindow.
type requestedTokens struct{ window, recent decayingSum }

func newRequestedTokens(now time.Duration) *requestedTokens {
	return &requestedTokens{window: decayingSum{updatedAt: now}, recent: decayingSum{updatedAt: now}}
}

func (r *requestedTokens) add(now, window time.Duration, tokens float64) {
	r.window.add(now, window, tokens)
	r.recent.add(now, movedWindow, tokens)
}

const (
	// movedWindow is the window in which a router is recognized to which the callers of a team have
	// moved. In the share window it would get a small part of the team's rate for seconds, while their
	// previous router doesn't use its own.
	movedWindow = 300 * time.Millisecond
	// minMovedFraction is the part of a team's requests within movedWindow from which on it counts. The
	// requests of a router that sends few are too irregular.
	minMovedFraction = 0.2
)

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
	r.total.add(now, window, tokens)
}

func (r *routerDemand) insert(now, window time.Duration, router uint64) *requestedTokens {
	if r.byRouter == nil {
		r.byRouter = map[uint64]*requestedTokens{}
	}
	if len(r.byRouter) >= max(r.sweepSize, minSweepSize) {
		r.sweep(now, window)
	}
	added := newRequestedTokens(now)
	r.byRouter[router] = added
	return added
}

// sweep removes routers that no longer send requests for the team, because callers move
// between routers. The next sweep is due at twice the remaining size, so that the
// amortized cost of an entry is constant.
func (r *routerDemand) sweep(now, window time.Duration) {
	for id, requested := range r.byRouter {
		if requested.window.value(now, window) < minAccountTokens {
			delete(r.byRouter, id)
		}
	}
	r.sweepSize = 2 * len(r.byRouter)
}

// count returns the number of routers that request for the team, at least 1.
func (r *routerDemand) count() int { return max(len(r.byRouter), 1) }

// fraction returns the part of the team's demand that comes through a router.
func (r *routerDemand) fraction(now, window time.Duration, router uint64) float64 {
	found := r.byRouter[router]
	if found == nil {
		return 0
	}
	fraction := found.window.value(now, window) / max(r.total.window.value(now, window), minAccountTokens)
	moved := found.recent.value(now, movedWindow) / max(r.total.recent.value(now, movedWindow), minAccountTokens)
	if moved < minMovedFraction {
		return fraction
	}
	return max(fraction, moved)
}
