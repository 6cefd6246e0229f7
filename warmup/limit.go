package warmup

import "time"

// Limit is the limit on requests to upstreams of a service while they warm up. The zero value
// means that they need no warm-up.
type Limit struct {
	// Duration is how long an upstream warms up after its start.
	Duration time.Duration
	// PerSecond is the number of requests per second that it tolerates during this time.
	PerSecond float64
}

// Limited reports whether upstreams need a warm-up.
func (l Limit) Limited() bool { return l.Duration > 0 && l.PerSecond > 0 }
