package warmup

import "time"

// Limit describes how upstreams of a service warm up. The zero value means that they need no
// warm-up.
type Limit struct {
	// Duration is how long an upstream warms up after its start.
	Duration time.Duration
	// PerSecond is the rate of requests that it tolerates meanwhile.
	PerSecond float64
}

// Limited reports whether upstreams need a warm-up.
func (l Limit) Limited() bool { return l.Duration > 0 && l.PerSecond > 0 }
