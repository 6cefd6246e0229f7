package router

import (
	"time"

	"github.com/aspenswitch/aspenswitch/bundle"
	"github.com/aspenswitch/aspenswitch/idempotency"
	"github.com/aspenswitch/aspenswitch/sched"
	"github.com/aspenswitch/aspenswitch/settings"
	"github.com/aspenswitch/aspenswitch/upstream"
)

// Config is what a Router runs with.
type Config struct {
	Name          string
	FailureDomain string
	Incarnation   uint64
	Operators     []bundle.Operator
	Scheduler     sched.Config
	Idempotency   idempotency.Config
	Upstream      upstream.Config
	// TickInterval is how often the core does what time alone brings about.
	TickInterval time.Duration
	// VMPollInterval is how often the list of VMs and upstreams' load are read.
	VMPollInterval, LoadPollInterval time.Duration
	// MaxVMListLag is the most that the platform's list of VMs lags, at any reader.
	MaxVMListLag time.Duration
	// WatchTimeout bounds one waiting watch on the platform.
	WatchTimeout      time.Duration
	WatchersPerDomain int
}

// Times that settings don't change.
const (
	defaultLoadEvery = 500 * time.Millisecond
	defaultWatchWait = 20 * time.Second
)

// NewConfig returns the configuration that settings ask for.
func NewConfig(s settings.Settings, incarnation uint64) Config {
	core := sched.DefaultConfig(s.Name, incarnation)
	core.Hysteresis = s.Scheduler.Hysteresis
	core.Fairness.ReportError = s.Scheduler.ReportError
	core.ReportEvery = time.Duration(s.Scheduler.ReportEvery)
	core.Heartbeat = time.Duration(s.Scheduler.Heartbeat)
	core.LeaseTTL = time.Duration(s.Scheduler.LeaseTTL)
	core.SuspectAfter = time.Duration(s.Scheduler.SuspectAfter)
	return Config{
		Name:              s.Name,
		FailureDomain:     s.FailureDomain,
		Incarnation:       incarnation,
		Operators:         s.Operators,
		Scheduler:         core,
		Idempotency:       idempotency.DefaultConfig(),
		Upstream:          upstream.DefaultConfig(),
		TickInterval:      time.Duration(s.Scheduler.Tick),
		VMPollInterval:    time.Duration(s.Platform.PollEvery),
		LoadPollInterval:  defaultLoadEvery,
		MaxVMListLag:      time.Duration(s.Platform.ListLag),
		WatchTimeout:      defaultWatchWait,
		WatchersPerDomain: s.Platform.WatchersPerDomain,
	}
}
