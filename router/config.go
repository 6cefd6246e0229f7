package router

import (
	"time"

	"github.com/aspenswitch/aspenswitch/bundle"
	"github.com/aspenswitch/aspenswitch/idempotency"
	"github.com/aspenswitch/aspenswitch/sched"
	"github.com/aspenswitch/aspenswitch/settings"
	"github.com/aspenswitch/aspenswitch/upstream"
)

// Config holds the configuration of a Router.
type Config struct {
	Name          string
	FailureDomain string
	Incarnation   uint64
	Operators     []bundle.Operator
	Scheduler     sched.Config
	Idempotency   idempotency.Config
	Upstream      upstream.Config
	// TickInterval is the interval at which the scheduler does its time-driven
	// work.
	TickInterval time.Duration
	// VMPollInterval and LoadPollInterval are the intervals at which the list of
	// VMs and the load of upstreams are read.
	VMPollInterval, LoadPollInterval time.Duration
	// MaxVMListLag is the longest time by which any reader's list of VMs lags the
	// platform.
	MaxVMListLag time.Duration
	// WatchTimeout limits the duration of one watch call to the platform.
	WatchTimeout      time.Duration
	WatchersPerDomain int
}

// Durations that are not configurable.
const (
	defaultLoadPollInterval = 500 * time.Millisecond
	defaultWatchTimeout     = 20 * time.Second
)

// NewConfig returns the configuration for the given settings.
func NewConfig(s settings.Settings, incarnation uint64) Config {
	scheduler := sched.DefaultConfig(s.Name, incarnation)
	scheduler.Hysteresis = s.Scheduler.Hysteresis
	scheduler.Fairness.ReportError = s.Scheduler.ReportError
	scheduler.ReportEvery = time.Duration(s.Scheduler.ReportEvery)
	scheduler.Heartbeat = time.Duration(s.Scheduler.Heartbeat)
	scheduler.LeaseTTL = time.Duration(s.Scheduler.LeaseTTL)
	scheduler.SuspectAfter = time.Duration(s.Scheduler.SuspectAfter)
	return Config{
		Name:              s.Name,
		FailureDomain:     s.FailureDomain,
		Incarnation:       incarnation,
		Operators:         s.Operators,
		Scheduler:         scheduler,
		Idempotency:       idempotency.DefaultConfig(),
		Upstream:          upstream.DefaultConfig(),
		TickInterval:      time.Duration(s.Scheduler.Tick),
		VMPollInterval:    time.Duration(s.Platform.PollEvery),
		LoadPollInterval:  defaultLoadPollInterval,
		MaxVMListLag:      time.Duration(s.Platform.ListLag),
		WatchTimeout:      defaultWatchTimeout,
		WatchersPerDomain: s.Platform.WatchersPerDomain,
	}
}
