package dispatch

import (
	"math"
	"time"
)

// account is the demand and usage of a team in tokens. requested and served are sums that
// decay over the share window; recent is what was served, with a decay over rateWindow. All
// three are divided by the part of their window that has been collected, see span.
type account struct {
	requested, served, recent float64
	updatedAt                 time.Duration
	// remote is the usage at other homes, estimated from remoteReport.
	remote       Usage
	remoteReport remoteReport
	// requestedTotal and servedTotal are sums since the account was created.
	requestedTotal, servedTotal float64
	// routers is the demand by router.
	routers routerDemand
	// lastRefusalAt is when a request of the team was last refused, here or by a router
	// without submitting it.
	lastRefusalAt time.Duration
}

// decay brings the account up to now.
func (a *account) decay(now time.Duration, s span) {
	if now <= a.updatedAt {
		return
	}
	factor := s.decay(a.updatedAt, now, s.window)
	a.requested *= factor
	a.served *= factor
	a.recent *= s.decay(a.updatedAt, now, rateWindow)
	a.remote = a.remoteReport.estimate(now, s.window)
	a.updatedAt = now
}

// addRequested records tokens that a router requests.
func (a *account) addRequested(now time.Duration, s span, router uint64, tokens float64) {
	a.requested += tokens / s.coverage(now, s.window)
	a.requestedTotal += tokens
	a.routers.add(now, s.window, router, tokens)
}

// addServed records tokens that the team was served.
func (a *account) addServed(now time.Duration, s span, tokens float64) {
	a.served += tokens / s.coverage(now, s.window)
	a.recent += tokens / s.coverage(now, rateWindow)
	a.servedTotal += tokens
}

// refund reverses tokens that were recorded as served some time ago.
func (a *account) refund(now, ago time.Duration, s span, tokens float64) {
	a.served = max(a.served-tokens*math.Exp(-float64(ago)/float64(s.window))/s.coverage(now, s.window), 0)
	a.recent = max(a.recent-tokens*math.Exp(-float64(ago)/float64(rateWindow))/s.coverage(now, rateWindow), 0)
	a.servedTotal -= tokens
}

// total returns the usage within the window from all homes.
func (a *account) total() float64 { return a.served + a.remote.Window }

// totalRecent returns the usage over rateWindow from all homes.
func (a *account) totalRecent() float64 { return a.recent + a.remote.Recent }

// routerFraction returns the fraction of the team's demand that comes through a router.
func (a *account) routerFraction(now time.Duration, s span, router uint64) float64 {
	return a.routers.fraction(now, s.window, router)
}
