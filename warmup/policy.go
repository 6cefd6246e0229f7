package warmup

import (
	"math"
	"time"
)

const (
	// GrantTTL is how long after its question a router may send a request to an upstream
	// that is warming up.
	GrantTTL = 250 * time.Millisecond
	// TakeoverDelay is how long a router must have been the home of a group before it grants.
	// Requests that its predecessor granted have arrived by then.
	TakeoverDelay = time.Second + GrantTTL
	// deciders is how many routers may take themselves for the home of a group at once.
	deciders = 2
	// burst is the capacity of a Bucket, in requests.
	burst = 1
)

// Policy bounds the requests that arrive at an upstream that is warming up.
type Policy struct {
	// Overage is the tolerated multiple of the upstream's rate, and Slack a number of
	// requests beside it.
	Overage, Slack float64
}

// DefaultPolicy returns the policy of deployments that set none.
func DefaultPolicy() Policy { return Policy{Overage: 1} }

// Bound returns the most requests that may arrive within any second.
func (p Policy) Bound(l Limit) int {
	return int(math.Floor(l.PerSecond*p.Overage + p.Slack))
}

// Rate returns the rate at which one home grants, in requests per second. It is 0 if the bound
// leaves no room for a home's burst.
func (p Policy) Rate(l Limit) float64 {
	each := float64(p.Bound(l)) / deciders
	rate := (each - burst) / (time.Second + GrantTTL).Seconds()
	return max(min(rate, l.PerSecond), 0)
}
