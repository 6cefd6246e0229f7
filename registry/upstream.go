// Package registry keeps which upstreams there are, as the platform publishes
// them. It is pure: the caller passes the time.
package registry

import "time"

// Upstream is one incarnation of an upstream. A restart may keep the ID; Started then
// tells the two apart.
type Upstream struct {
	ID      string
	Service string
	// Address is IP:port. It may be used again by another upstream later.
	Address       string
	FailureDomain string
	// Slots is how many requests it works on at once.
	Slots int
	// Draining upstreams get no new work.
	Draining bool
	// ColdFor is how much longer it was slow after its start when it registered.
	ColdFor time.Duration
	// Started is when its process started by its own clock, in Unix milliseconds; 0 if
	// it doesn't say. Clocks are set back: another moment is another start, an earlier
	// one too.
	Started int64
	// Revision is the platform's, of the entry's last change.
	Revision int64
}

// RestartOf reports whether u is another start of the same upstream. One that says
// nothing of its start may be either and counts as the same.
func (u *Upstream) RestartOf(earlier *Upstream) bool {
	return u.Started != 0 && earlier.Started != 0 && u.Started != earlier.Started
}
