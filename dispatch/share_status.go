package dispatch

import "time"

// standing is how a team stands against its share.
type standing uint8

const (
	// within: the team had no more than an even division of the group's engines gives it.
	within standing = iota
	// ahead: it had more of this group, but less than its share of the fleet. It goes
	// after teams that are within their share, so that a flood whose sessions belong to
	// one group takes nothing from the small teams there.
	ahead
	// over: it had its share of the fleet, and takes what is spare.
	over
)

// Shares are balanced over the window, but at a rate that stays near the fair one.
//
// A team that floods alone takes what is spare, and its account stands far above the
// share once a second team begins or engines are lost. Balanced at once, the second got
// a whole window's share in a second or two while the first got nothing: over six
// seconds one had 0.41 of the other's tokens, and users call less than half unfair.
// Within a band around the fair rate neither can have less than leastRate/mostRate of
// the other, whatever the accounts say, and the window is balanced by the rest. Bound:
// 0.8/1.2 = 0.67 of the other over a time that is long against rateWindow, less the
// largest request.
const (
	// rateWindow is the span of the rates: several requests of a heavy team, and short
	// against the six seconds over which users compare.
	rateWindow = time.Second
	// leastRate is the part of the fair rate up to which a team is within its share
	// whatever it had before.
	leastRate = 0.8
	// mostRate is the part from which on it is above, however little it had.
	mostRate = 1.2
)

// standing returns how a team stands.
//
// Users compare what teams got from the whole fleet. If each group divided its service alike, a
// team whose sessions belong to one group would get a fraction of what others get from several.
func (s *shares) standing(now time.Duration, team string) standing {
	s.refresh(now)
	a := s.account(now, team)
	switch {
	case s.above(a.total(), a.totalLately(), s.level):
		return over
	case s.above(a.served, a.lately, s.even):
		return ahead
	}
	return within
}

// above reports whether what a team got within the window and lately is above a level.
func (s *shares) above(got, lately, level float64) bool {
	fair := s.rate(level)
	return lately > mostRate*fair || got > level && lately > leastRate*fair
}

// lately is what a team got within the last moments.
func (s *shares) lately(now time.Duration, team string) float64 {
	return s.account(now, team).totalLately()
}
