package dispatch

import "time"

// shareStatus is a team's usage relative to its share.
type shareStatus uint8

const (
	// withinShare: the team got no more than an even division of the group's engines.
	withinShare shareStatus = iota
	// overGroupShare: the team got more from this group, but less than its share of the
	// fleet. Its requests go after those of teams within their share, so that a flood
	// whose sessions belong to one group takes nothing from the small teams there.
	overGroupShare
	// overFleetShare: the team got its share of the fleet and only gets spare capacity.
	overFleetShare
)

// Shares are balanced over the share window, with rates that stay close to the fair rate.
//
// A team that floods alone gets the spare capacity, so its usage is far above its share
// when a second team starts or engines are lost. Balancing at once gave the second team a
// whole window's share within 1 to 2 seconds and the first team nothing: over six seconds
// one team got 0.41 of the other's tokens, and teams consider less than half unfair.
// Within a band around the fair rate, no team gets less than minFairRate/maxFairRate of
// another, whatever their accounts are; the window is balanced with the rest. Bound:
// 0.8/1.2 = 0.67 of the other over a time that is long compared with rateWindow, less the
// largest request.
const (
	// rateWindow is the window of the rates. It covers several requests of a busy team,
	// and is short compared with the six seconds over which teams compare what they get.
	rateWindow = time.Second
	// minFairRate is the fraction of the fair rate up to which a team is within its share,
	// whatever it got before.
	minFairRate = 0.8
	// maxFairRate is the multiple of the fair rate from which a team is above its share,
	// however little it got before.
	maxFairRate = 1.2
)

// shareStatus returns the status of a team.
//
// Teams compare what they get from the whole fleet. If each group divided its capacity
// evenly on its own, a team whose sessions belong to one group would get a fraction of
// what others get from several groups.
func (s *shares) shareStatus(now time.Duration, team string) shareStatus {
	s.refresh(now)
	a := s.account(now, team)
	switch {
	case s.exceeds(a.total(), a.totalRecent(), s.fairShare):
		return overFleetShare
	case s.exceeds(a.served, a.recent, s.groupShare):
		return overGroupShare
	}
	return withinShare
}

// exceeds reports whether a team is above a share: its recent usage alone is above
// maxFairRate of the fair rate, or its usage within the window is above the share while
// its recent usage is above minFairRate of the fair rate.
func (s *shares) exceeds(usage, recent, share float64) bool {
	fair := s.rate(share)
	return recent > maxFairRate*fair || usage > share && recent > minFairRate*fair
}

// recentUsage returns the team's usage over rateWindow, from all homes.
func (s *shares) recentUsage(now time.Duration, team string) float64 {
	return s.account(now, team).totalRecent()
}
