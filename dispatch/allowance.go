package dispatch

import (
	"math"
	"time"
)

// The home of a group returns to each router an allowance for each team: the rate at which
// the router may request tokens for the team. The router refuses the rest without asking
// the home.
//
// Callers of one team often use the same router. If a router throttles by its recent
// refusals, it can't distinguish a team that has used its share from one whose replies
// were late: a router with 3,700 requests per second submitted nothing for a second while
// the team was within its share, and the team got 0.28 to 0.34 of another's tokens over
// six seconds. Allowances depend on the share alone. Bound: a team with more demand than
// its share, at routers that are not overloaded, may request at least allowanceFactor
// times the fair rate, whatever was refused before, and so gets at least minFairRate of
// it.
const (
	// allowanceFactor is the ratio of the allowance to the team's rate. A team that may
	// get more shows it within a second, because the rate then doubles; a flood of ten
	// times a team's share submits a fifth of its requests.
	allowanceFactor = 2
	// minRouterFraction is the fraction of a team's rate for a router that has just
	// started to send requests for it, or an even division among the team's routers if
	// that is less. Otherwise hundreds of routers could request several times the team's
	// rate.
	minRouterFraction = 0.02
	// spareFraction is the fraction of the group share that a team may always request,
	// even if it got its share elsewhere, because engines may be idle.
	spareFraction = 0.1
)

// Unlimited is an allowance without a bound.
var Unlimited = math.Inf(1)

// allowance returns the rate at which a router may request for a team, in tokens per
// second.
func (s *shares) allowance(now time.Duration, router uint64, team string) float64 {
	s.refresh(now)
	a := s.account(now, team)
	due := max(s.fairShare-a.remote.Window, 0)
	if a.requested <= due {
		return Unlimited
	}
	fair := max(due, spareFraction*s.groupShare) / s.window.Seconds()
	rate := allowanceFactor * max(fair, a.recent/rateWindow.Seconds())
	return rate * max(a.routerFraction(now, s.span(), router), min(minRouterFraction, 1/float64(a.routers.count())))
}
