package dispatch

import (
	"math"
	"time"
)

// A team's home tells each router that asks for the team how much it may ask for, so that
// the router refuses the rest without asking.
//
// Callers of one team often meet one router. If that throttles by what was refused of
// late, it can't tell a team that has had its share from one whose answers came late: a
// router under 3,700 requests a second asked for nothing for a second while the team was
// within its share, and the team got 0.28 to 0.34 of another's tokens over six seconds.
// What a home allows follows the share alone. Bound: a team that asks for more than its
// share through routers that keep up is asked for at askMore times the fair rate at the
// least, whatever was refused before, and so gets leastRate of it.
const (
	// askMore is how many times a team's rate routers may ask for: what a team may get
	// more shows within a second, as the rate then doubles, and a flood of ten times its
	// share costs a fifth of its questions.
	askMore = 2
	// leastPart is the part of a team's rate that a router gets that has just begun to
	// ask for it, or an even division among those that ask if that is less: hundreds of
	// routers would else ask for several times the team's rate.
	leastPart = 0.02
	// sparePart is the part of an even division of the group's engines that a team may
	// always ask for, though it got its share elsewhere: engines may have time to spare.
	sparePart = 0.1
)

// Unlimited is an allowance without a bound.
var Unlimited = math.Inf(1)

// allowance is what a router may ask for a team, in tokens a second.
func (s *shares) allowance(now time.Duration, router uint64, team string) float64 {
	s.refresh(now)
	a := s.account(now, team)
	due := max(s.level-a.elsewhere.Window, 0)
	if a.asked <= due {
		return Unlimited
	}
	fair := max(due, sparePart*s.even) / s.window.Seconds()
	rate := askMore * max(fair, a.lately/rateWindow.Seconds())
	return rate * max(a.partOf(now, s.window, router), min(leastPart, 1/float64(a.routers.count())))
}
