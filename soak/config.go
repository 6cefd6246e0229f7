package soak

import (
	"time"

	"github.com/aspenswitch/aspenswitch/settings"
)

// Config describes a run: its size, its faults and the paths it uses.
type Config struct {
	Seed uint64
	// Duration is the time in which faults are injected. Settle is the fault-free time
	// after it.
	Duration time.Duration
	Settle   time.Duration
	// Daemon is the path of the router executable.
	Daemon string
	// EarlierDaemon is the path of the router executable of an earlier release, which every second
	// router runs until its first restart; "" means that all run Daemon from the start.
	EarlierDaemon string
	// Dir is the directory for settings and logs.
	Dir string
	// Slot is the index of the run among concurrent runs of the process. It selects the
	// loopback addresses of the routers.
	Slot    int
	Routers int
	// Upstreams is the number of upstreams of each of the two services.
	Upstreams int
	Callers   int
	// Faults is the mean number of faults per second drawn from baseFaults.
	Faults float64
	// UpstreamFaults adds faults drawn from the upstreamFaults table to the plan.
	UpstreamFaults bool
	// WarmUpFaults adds faults drawn from the warmUpFaults table to the plan and enables the
	// warm-up of upstreams.
	WarmUpFaults bool
	// VersionFaults adds faults drawn from the versionFaults table to the plan. Callers then continue
	// broken streams.
	VersionFaults bool
	// RestoreFaults adds faults drawn from the restoreFaults table to the plan.
	RestoreFaults bool
	// FramingFaults adds faults drawn from the framingFaults table to the plan.
	FramingFaults bool
	// PartFaults adds faults drawn from the partFaults table to the plan.
	PartFaults bool
	// FloodFaults adds faults drawn from the floodFaults table to the plan. Overloaded routers then
	// leave the load balancer, and the first router is weaker than the others. Plans of known seeds
	// were drawn for equal routers, so it isn't set by default.
	FloodFaults bool
	Bounds      settings.Bounds
}

// DefaultConfig returns the configuration of a run of about 20 seconds with five routers.
func DefaultConfig() Config {
	return Config{
		Duration: 15 * time.Second, Settle: 8 * time.Second, Routers: 5, Upstreams: 3, Callers: 24, Faults: 1.2, UpstreamFaults: true, WarmUpFaults: true, VersionFaults: true, RestoreFaults: true, FramingFaults: true, PartFaults: true,
		Bounds: settings.Bounds{
			RevokeMs: 5000, ApplyMs: 2000, LeaveMs: 2000, GraceS: 4,
			RetryRatio: 0.2, RetryAllowance: 40, RetryWindowS: 10, ShareWindowS: 4,
			WarmUpOverage: 1.5, WarmUpSlack: 5, EvacuateMs: 2500,
		},
	}
}

// check returns an error if the configuration can't be executed.
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

// faultMargin is the time after a fault before time bounds apply to the affected router again.
// It covers startup after a kill, whose interval ends when the process is restarted, and
// reconnecting after a link or store fault. Deployments apply the same margin to their bounds.
const faultMargin = 3 * time.Second
