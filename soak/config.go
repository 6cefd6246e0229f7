package soak

import (
	"time"

	"github.com/aspenswitch/aspenswitch/settings"
)

// Config is the size of a run and where its programs are.
type Config struct {
	Seed uint64
	// Duration is how long faults come; Settle follows it without any.
	Duration time.Duration
	Settle   time.Duration
	// Daemon is the program of a router.
	Daemon string
	// Dir is where settings and logs are written.
	Dir string
	// Slot tells runs on one machine apart: each has addresses of its own.
	Slot    int
	Routers int
	// Upstreams is how many each of the two services has.
	Upstreams int
	Callers   int
	// Faults is the mean number of faults a second.
	Faults float64
	// UpstreamFaults adds faults drawn from upstreamMenu to the plan.
	UpstreamFaults bool
	// WarmUpFaults adds faults drawn from warmUpMenu to the plan, and makes upstreams warm up.
	WarmUpFaults bool
	Bounds       settings.Bounds
}

// DefaultConfig returns a run of some twenty seconds with five routers.
func DefaultConfig() Config {
	return Config{
		Duration: 15 * time.Second, Settle: 8 * time.Second, Routers: 5, Upstreams: 3, Callers: 24, Faults: 1.2, UpstreamFaults: true, WarmUpFaults: true,
		Bounds: settings.Bounds{
			RevokeMs: 5000, ApplyMs: 2000, LeaveMs: 2000, GraceS: 4,
			RetryRatio: 0.2, RetryAllowance: 40, RetryWindowS: 10, ShareWindowS: 4,
			WarmUpOverage: 1.5, WarmUpSlack: 5, EvacuateMs: 2500,
		},
	}
}

// check reports what can't be played.
func (c Config) check() error {
	switch {
	case c.Routers < 1 || c.Routers > maxRouters:
		return Error.New("routers: %d, must be 1 to %d", c.Routers, maxRouters)
	case c.Slot < 0 || c.Slot > maxSlot:
		return Error.New("runs at once: %d, must be 1 to %d", c.Slot+1, maxSlot+1)
	case c.Upstreams < 1 || c.Callers < 1:
		return Error.New("upstreams: %d, callers: %d, must be 1 or more", c.Upstreams, c.Callers)
	case c.Faults <= 0 || c.Duration <= 0:
		return Error.New("faults: %g a second, duration: %v, must be more than 0", c.Faults, c.Duration)
	}
	return nil
}

// contact is how long a router must have been left alone before bounds on time
// hold for it, as deployments have it.
const contact = 3 * time.Second
