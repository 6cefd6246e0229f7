package warmup

import (
	"math"
	"time"
)

const (
	// GrantTTL is how long after requesting admission a router may send a request to an
	// upstream that is warming up.
	GrantTTL = 250 * time.Millisecond
	// TakeoverDelay is how long a router must have been the home of a group before it grants
	// requests. Those that its predecessor granted have arrived by then.
	TakeoverDelay = time.Second + GrantTTL
	// maxConcurrentHomes is the number of routers that may act as the home of a group at once.
	maxConcurrentHomes = 2
	// burst is the capacity of a Bucket, in requests.
	burst = 1
)

// Policy limits the requests that arrive at an upstream that is warming up.
type Policy struct {
	// Overage is the tolerated multiple of the upstream's rate. Slack is a number of requests
	// that is tolerated in addition.
	Overage, Slack float64
}

// DefaultPolicy returns the policy of deployments that don't configure one.
func DefaultPolicy() Policy { return Policy{Overage: 1} }

// Bound returns the maximum number of requests that may arrive within any second.
func (p Policy) Bound(l Limit) int {
	return int(math.Floor(l.PerSecond*p.Overage + p.Slack))
}

// RequestsPerProbe returns the number of requests that one home may send to an upstream between
// two probes. It is at least 1, so that an upstream with a small bound isn't unused.
func (p Policy) RequestsPerProbe(l Limit) int {
	return max(p.Bound(l)/maxConcurrentHomes, 1)
}

// Rate returns the rate at which one home grants, in requests per second. It is 0 if a home's part
// of the bound doesn't exceed its burst.
func (p Policy) Rate(l Limit) float64 {
	perHome := float64(p.Bound(l)) / maxConcurrentHomes
	rate := (perHome - burst) / (time.Second + GrantTTL).Seconds()
	return max(min(rate, l.PerSecond), 0)
}
