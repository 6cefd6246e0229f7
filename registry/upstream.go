// Package registry keeps which upstreams there are, as the platform publishes
// them. It is pure: the caller passes the time.
package registry

import (
	"time"

	"github.com/aspenswitch/aspenswitch/boottime"
)

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
	// WarmUpLeft is how much longer it was warming up when it wrote its entry.
	WarmUpLeft time.Duration
	// WarmUpEnd is when its warm-up is over at the latest, on the boot clock of this router,
	// which counts WarmUpLeft from the moment at which it learned of the entry.
	WarmUpEnd boottime.Time `json:"-"`
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
