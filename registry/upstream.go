// Package registry keeps which upstreams there are, as the platform publishes
// them. It is pure: the caller passes the time.
package registry

import "time"

// Upstream is one incarnation of an upstream: a restart gets a new ID.
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
	// Revision is the platform's, of the entry's last change.
	Revision int64
}
