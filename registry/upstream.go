// Package registry stores the upstreams that the platform publishes. It performs no I/O and starts
// no goroutines; the time is always an argument.
package registry

import (
	"time"

	"github.com/aspenswitch/aspenswitch/boottime"
)

// Upstream is the entry of one incarnation of an upstream. A restarted upstream may keep its ID;
// Started then distinguishes the incarnations.
type Upstream struct {
	ID      string
	Service string
	// Address is IP:port. It may later be reused by another upstream.
	Address       string
	FailureDomain string
	// Version is the version of the upstream's software, or "" if it is unknown, for example
	// because a router of an earlier release has passed on the entry.
	Version string
	// Slots is the number of requests that it processes concurrently.
	Slots int
	// Draining is set if the upstream must receive no new requests.
	Draining bool
	// WarmUpLeft is the remaining warm-up time when the upstream wrote its entry.
	WarmUpLeft time.Duration
	// WarmUpEnd is the latest time at which the warm-up ends, on the boot clock of this router:
	// WarmUpLeft after the router received the entry.
	WarmUpEnd boottime.Time `json:"-"`
	// Started is the start time of the process by its own clock, in Unix milliseconds, or 0 if
	// the upstream doesn't report it. Any other value, even a lower one, means another start,
	// since clocks can be set back.
	Started int64
	// Revision is the platform's revision of the last change to the entry.
	Revision int64
}

// RestartOf reports whether u is a different incarnation of the upstream than earlier. An unknown
// start time counts as the same.
func (u *Upstream) RestartOf(earlier *Upstream) bool {
	return u.Started != 0 && earlier.Started != 0 && u.Started != earlier.Started
}
