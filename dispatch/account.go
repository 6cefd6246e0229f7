package dispatch

import (
	"math"
	"time"
)

// account is a team's, in tokens. What was asked and served are sums that decay over
// the window, lately is what was served with a decay over rateWindow.
type account struct {
	asked, served, lately float64
	at                    time.Duration
	// elsewhere is what the team is taken to have got from other homes, after told.
	elsewhere Usage
	told      told
	// askedAll and servedAll are sums since the account began.
	askedAll, servedAll float64
	// routers is what was asked for by router.
	routers routers
	// refusedAt is when a request of the team was last refused, here or by a router
	// on its own.
	refusedAt time.Duration
}

// decay brings the account up to the present.
func (a *account) decay(now, window time.Duration) {
	if now <= a.at {
		return
	}
	f := math.Exp(-float64(now-a.at) / float64(window))
	late := math.Exp(-float64(now-a.at) / float64(rateWindow))
	a.asked *= f
	a.served *= f
	a.lately *= late
	a.elsewhere = a.told.value(now, window)
	a.at = now
}

// ask notes what a router asks for.
func (a *account) ask(now, window time.Duration, router uint64, tokens float64) {
	a.asked += tokens
	a.askedAll += tokens
	a.routers.add(now, window, router, tokens)
}

// serve notes what the team was served.
func (a *account) serve(tokens float64) {
	a.served += tokens
	a.lately += tokens
	a.servedAll += tokens
}

// giveBack takes back what was noted as served so long ago.
func (a *account) giveBack(ago, window time.Duration, tokens float64) {
	a.served = max(a.served-tokens*math.Exp(-float64(ago)/float64(window)), 0)
	a.lately = max(a.lately-tokens*math.Exp(-float64(ago)/float64(rateWindow)), 0)
	a.servedAll -= tokens
}

// total is what the team got within the window from all homes.
func (a *account) total() float64 { return a.served + a.elsewhere.Window }

// totalLately is the same within the last moments.
func (a *account) totalLately() float64 { return a.lately + a.elsewhere.Recent }

// partOf is the part of what is asked for the team that comes through a router.
func (a *account) partOf(now, window time.Duration, router uint64) float64 {
	return a.routers.asked(now, window, router) / max(a.asked, idleAccount)
}
