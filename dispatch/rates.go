package dispatch

import "time"

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

// over reports whether a team has had its share.
func (s *shares) over(now time.Duration, team string) bool {
	s.refresh(now)
	a := s.account(now, team)
	fair := s.level * float64(rateWindow) / float64(s.window)
	if a.lately > mostRate*fair {
		return true
	}
	return a.served > s.level && a.lately > leastRate*fair
}

// lately is what a team got within the last moments.
func (s *shares) lately(now time.Duration, team string) float64 {
	return s.account(now, team).lately
}
