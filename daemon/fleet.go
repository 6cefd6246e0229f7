package daemon

import (
	"context"
	"errors"
	"net"
	"net/http"
	"runtime/debug"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/rs/zerolog"

	"github.com/aspenswitch/aspenswitch/boottime"
	"github.com/aspenswitch/aspenswitch/dispatch"
	"github.com/aspenswitch/aspenswitch/feed"
	"github.com/aspenswitch/aspenswitch/fleet"
	"github.com/aspenswitch/aspenswitch/gateway"
	"github.com/aspenswitch/aspenswitch/obs"
	"github.com/aspenswitch/aspenswitch/platform"
	"github.com/aspenswitch/aspenswitch/quarantine"
	"github.com/aspenswitch/aspenswitch/registry"
	"github.com/aspenswitch/aspenswitch/retry"
	"github.com/aspenswitch/aspenswitch/settings"
	"github.com/aspenswitch/aspenswitch/upstream"
)

// FleetDaemon is the router process that reads its configuration and upstreams from the
// platform's store (package feed). It serves requests with packages gateway, fleet, dispatch and feed. Daemon
// is the alternative that is configured by signed bundles.
type FleetDaemon struct {
	settings  settings.Fleet
	log       zerolog.Logger
	metrics   *obs.Metrics
	node      *fleet.Node
	feed      *feed.Feed
	pool      *upstream.Pool
	gateway   *gateway.Server
	listeners fleetListeners
	// drained is closed when Drain has ended.
	drained chan struct{}
}

type fleetListeners struct{ callers, readiness, control, metrics net.Listener }

// NewFleetDaemon creates a FleetDaemon and opens its listeners; Run serves them. It sets the
// memory limit of the Go runtime.
func NewFleetDaemon(s settings.Fleet, log zerolog.Logger) (*FleetDaemon, error) {
	cfg := gatewayConfig(s)
	// Near the limit the garbage collector runs more often, before the process is killed for
	// exceeding its memory.
	debug.SetMemoryLimit(cfg.RuntimeMemory)
	d := &FleetDaemon{settings: s, log: log, metrics: obs.NewMetrics("aspenswitch"), pool: upstream.NewPool(upstream.DefaultPoolConfig()), drained: make(chan struct{})}
	if err := d.openListeners(); err != nil {
		return nil, err
	}
	nodeCfg := nodeConfig(s)
	nodeCfg.CachedParts = func(ctx context.Context, address string) (fleet.CacheReport, error) {
		report, err := platform.FetchCachedParts(ctx, d.pool, address)
		d.countMalformed(err)
		return report, err
	}
	nodeCfg.WarmUpLeft = func(ctx context.Context, u *registry.Upstream, healthPath string) (time.Duration, error) {
		left, err := platform.FetchWarmUpLeft(ctx, d.pool, u, healthPath)
		d.countMalformed(err)
		return left, err
	}
	if s.Entry.LeaveWhenOverloaded {
		nodeCfg.EntryLoad, nodeCfg.Metrics = d.entryLoad, d.metrics.Scope
	}
	transport, err := fleet.Listen(s.Peers.IP, s.Peers.Port)
	if err != nil {
		return nil, err
	}
	node := fleet.New(nodeCfg, transport, boottime.Now, log)
	d.node = node
	source := platform.NewSource(s.Platform, platformClient(), log)
	d.feed = feed.New(feed.DefaultConfig(s.Bounds.MaxRevocationDelay(), s.Bounds.MaxApplyDelay()), source, boottime.Now, log, node.ReadsPlatform, node.NotifyStateChange)
	node.Attach(d.feed)
	budget := retry.Budget{Ratio: s.Bounds.RetryRatio, Allowance: s.Bounds.RetryAllowance, Window: s.Bounds.RetryWindow()}
	cfg.OutOfRotation = node.OutOfRotation
	d.gateway = gateway.New(cfg, d.feed, node, d.pool, budget, obs.NewLimitedLogger(log, s.LogLines), d.metrics)
	return d, nil
}

// countMalformed counts a malformed response to a request of the router itself, as the gateway does
// for callers' requests.
func (d *FleetDaemon) countMalformed(err error) {
	var malformed *upstream.MalformedResponseError
	if errors.As(err, &malformed) {
		d.metrics.Scope.Tagged(map[string]string{"reason": string(malformed.Reason)}).Counter("malformed_responses").Inc(1)
	}
}

func gatewayConfig(s settings.Fleet) gateway.Config {
	cfg := gateway.DefaultConfig()
	cfg.Headers = platform.HTTPHeaders()
	cfg.Regions = s.Regions
	cfg.Fit(int64(s.MemoryMB)<<20, s.Files)
	cfg.GracePeriod = s.Bounds.TerminationGracePeriod()
	cfg.MaxStateAge = s.Bounds.MaxApplyDelay() * 4 / 5
	cfg.ShutdownDelay = min(cfg.ShutdownDelay, cfg.GracePeriod/2)
	cfg.ForwardPeriod = min(cfg.ForwardPeriod, cfg.GracePeriod/3)
	return cfg
}

func nodeConfig(s settings.Fleet) fleet.Config {
	cfg := fleet.DefaultConfig()
	cfg.IP, cfg.Port, cfg.Domain, cfg.Weight = s.Peers.IP, s.Peers.Port, s.FailureDomain, s.Processor
	cfg.Seeds = seedIPs(s.Peers.Seeds)
	// A leader must not distribute state so old that its own router would read the
	// platform again.
	cfg.MaxLeaderStateAge = feed.DefaultConfig(s.Bounds.MaxRevocationDelay(), s.Bounds.MaxApplyDelay()).MaxFollowerAge
	// State passes through two routers on its way and must arrive well before it reaches
	// that age.
	cfg.StatePollInterval = cfg.MaxLeaderStateAge / 6
	cfg.Regions, cfg.WarmUp = s.Regions, s.Bounds.WarmUp()
	cfg.Engine.ShareWindow = time.Duration(s.Bounds.ShareWindowS * float64(time.Second))
	features := dispatch.Features{
		Locality: s.Placement.Locality, Reservations: s.Placement.Reservations, Handover: s.Placement.Handover, LoadReports: s.Placement.LoadReports,
	}
	cfg.Engine.Features, cfg.Plain.Features = features, features
	return cfg
}

// platformClient returns an HTTP client that keeps one idle connection for the watch. It has no
// overall timeout, since each call has a deadline.
func platformClient() *http.Client {
	return &http.Client{Transport: &upstream.CheckedTransport{Base: &http.Transport{
		DialContext:            (&net.Dialer{Timeout: time.Second}).DialContext,
		MaxIdleConnsPerHost:    1,
		IdleConnTimeout:        10 * time.Second,
		DisableCompression:     true,
		MaxResponseHeaderBytes: upstream.DefaultPoolConfig().MaxHeaderBytes,
	}}}
}

func (d *FleetDaemon) openListeners() error {
	ip, _, err := net.SplitHostPort(d.settings.Control)
	if err != nil {
		return Error.Wrap(err)
	}
	for _, l := range []struct {
		listener *net.Listener
		address  string
	}{
		{&d.listeners.callers, d.settings.Callers},
		{&d.listeners.readiness, d.settings.Readiness},
		{&d.listeners.control, d.settings.Control},
		{&d.listeners.metrics, net.JoinHostPort(ip, strconv.Itoa(d.settings.Metrics))},
	} {
		// TCP keep-alive would cost four system calls for each accepted connection. It
		// isn't needed: the idle timeout ends idle connections, and the deadline of the
		// request ends the others.
		listenConfig := net.ListenConfig{KeepAlive: -1}
		if *l.listener, err = listenConfig.Listen(context.Background(), "tcp4", l.address); err != nil {
			return Error.Wrap(err)
		}
	}
	return nil
}

// CallersAddress returns the address of the callers' listener, for settings with port 0.
func (d *FleetDaemon) CallersAddress() string { return d.listeners.callers.Addr().String() }

// ControlAddress returns the address of the control listener, for settings with port 0.
func (d *FleetDaemon) ControlAddress() string { return d.listeners.control.Addr().String() }

// Run serves until Drain has ended, or until the callers' listener fails. Drain closes that listener
// before running requests have finished: the background tasks go on, since a request may need another
// upstream. When ctx is done, only the background tasks end.
func (d *FleetDaemon) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go d.node.Run(ctx)
	go d.feed.Run(ctx)
	go d.closeExpiredConnections(ctx)
	go d.logLoad(ctx)
	go d.logTeams(ctx)
	go d.adjustGCPercent(ctx)
	go d.serveAuxiliary(d.listeners.readiness, d.readiness())
	go d.serveAuxiliary(d.listeners.control, d.control())
	go d.serveAuxiliary(d.listeners.metrics, d.metrics.Handler)
	d.log.Info().Str("event", "start").Str("callers", d.settings.Callers).Str("failure_domain", d.settings.FailureDomain).Msg("serving")
	if err := d.gateway.Serve(d.listeners.callers); err != nil {
		return err
	}
	<-d.drained
	return nil
}

// serveAuxiliary serves the readiness, control or metrics listener until the process exits.
func (d *FleetDaemon) serveAuxiliary(l net.Listener, h http.Handler) {
	server := &http.Server{Handler: h, ReadHeaderTimeout: auxReadHeaderTimeout, IdleTimeout: auxIdleTimeout, ReadTimeout: auxReadTimeout, MaxHeaderBytes: auxMaxHeaderBytes}
	if err := server.Serve(l); err != nil {
		d.log.Error().Str("event", "listener").Stringer("address", l.Addr()).Err(err).Msg("listener failed")
	}
}

const (
	auxReadHeaderTimeout = 3 * time.Second
	// auxReadTimeout limits a whole request; none has a body that is used.
	auxReadTimeout = 5 * time.Second
	// auxMaxHeaderBytes limits the header of a request, which has a few short fields.
	auxMaxHeaderBytes = 8 << 10
	auxIdleTimeout    = 20 * time.Second
	// idleSweepInterval is the time between two searches for expired idle connections. It is
	// well below the margin by which the pool closes a connection before the upstream does.
	idleSweepInterval = 300 * time.Millisecond
)

func (d *FleetDaemon) closeExpiredConnections(ctx context.Context) {
	limited := obs.NewLimitedLogger(d.log, d.settings.LogLines)
	ticker := time.NewTicker(idleSweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			for _, address := range d.pool.CloseExpired(now) {
				d.metrics.Scope.Counter("unsolicited_data").Inc(1)
				limited.Warn("unsolicited_data", func(e *obs.Event) {
					e.Str("address", address).Msg("closed an idle connection on which an upstream sent data")
				})
			}
		}
	}
}

// Ready reports whether the load balancer should send connections to this router. It returns
// false while the router can't serve, and while it is overloaded and others take its callers.
func (d *FleetDaemon) Ready() bool { return d.canServe() && !d.node.OutOfRotation() }

// canServe returns false while the router is stopping, and while it has no state or one too old
// to serve.
func (d *FleetDaemon) canServe() bool {
	return !d.gateway.Stopping() && d.feed.Snapshot() != nil && d.feed.Fresh()
}

func (d *FleetDaemon) readiness() http.Handler {
	e := newEcho()
	e.GET(platform.ReadyPath, func(c echo.Context) error {
		if !d.Ready() {
			return c.NoContent(http.StatusServiceUnavailable)
		}
		return c.NoContent(http.StatusOK)
	})
	return e
}

// control returns the handler of the operators' listener.
func (d *FleetDaemon) control() http.Handler {
	e := newEcho()
	e.GET("/dump", func(c echo.Context) error { return c.JSON(http.StatusOK, d.dump()) })
	e.GET("/metrics", echo.WrapHandler(d.metrics.Handler))
	e.POST("/quarantine/release", d.releaseQuarantine)
	return e
}

// releaseQuarantine handles requests to end the quarantine of a team's content, or of a part, at all
// routers.
func (d *FleetDaemon) releaseQuarantine(c echo.Context) error {
	key, err := parseQuarantineKey(c)
	if err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	if d.node.Quarantine().Status(key) == quarantine.Normal {
		return echo.NewHTTPError(http.StatusNotFound, key.Name()+" is neither suspect nor in quarantine")
	}
	d.node.Release(key)
	return c.NoContent(http.StatusNoContent)
}

// parseQuarantineKey returns the key in a request's parameters: part, or team and content.
func parseQuarantineKey(c echo.Context) (quarantine.Key, error) {
	if part := c.QueryParam("part"); part != "" {
		return quarantine.ParsePartKey(part)
	}
	return quarantine.ParseContentKey(c.QueryParam("team"), c.QueryParam("content"))
}

// fleetDump is the state of the process that the control listener returns.
type fleetDump struct {
	Ready         bool  `json:"ready"`
	Stopping      bool  `json:"stopping"`
	ConfigVersion int64 `json:"configVersion"`
	// Placement and Entry are the settings that enable decisions.
	Placement     settings.Placement `json:"placement"`
	Entry         settings.Entry     `json:"entry"`
	PlatformCalls int64              `json:"platformCalls"`
	// OversizedWatches counts the platform's answers that were too large to be read, StalledReads those
	// that stopped arriving, and SlowReads those that took longer than a state may be old.
	OversizedWatches int64      `json:"oversizedWatches"`
	StalledReads     int64      `json:"stalledReads"`
	SlowReads        int64      `json:"slowReads"`
	Connections      int64      `json:"upstreamConnectionsOpened"`
	Datagrams        int64      `json:"datagramsSent"`
	Node             fleet.Dump `json:"node"`
}

func (d *FleetDaemon) dump() fleetDump {
	return fleetDump{
		Ready: d.Ready(), Stopping: d.gateway.Stopping(), ConfigVersion: d.feed.Snapshot().ConfigVersion(), Placement: d.settings.Placement, Entry: d.settings.Entry,
		PlatformCalls: d.feed.Calls(), OversizedWatches: d.feed.Oversized(), StalledReads: d.feed.Stalled(), SlowReads: d.feed.TooSlow(), Connections: d.pool.Dials(), Datagrams: d.node.Datagrams(), Node: d.node.Dump(),
	}
}

func newEcho() *echo.Echo {
	e := echo.New()
	e.HideBanner, e.HidePort = true, true
	return e
}

// exitMargin is the part of the termination grace period that is left for the process to exit
// before it is killed.
const exitMargin = 400 * time.Millisecond

// Drain stops serving gracefully. Running requests may finish within the termination grace
// period; Drain logs an error and aborts those that don't. It must be called once.
func (d *FleetDaemon) Drain() {
	defer close(d.drained)
	grace := d.settings.Bounds.TerminationGracePeriod() - exitMargin
	ctx, cancel := context.WithTimeout(context.Background(), grace)
	defer cancel()
	d.log.Info().Str("event", "stop").Dur("grace", grace).Msg("stopping")
	d.node.Leave()
	if err := d.gateway.Shutdown(ctx); err != nil {
		d.log.Error().Str("event", "stop").Err(err).Msg("grace period expired; running requests were aborted")
	}
	d.gateway.Close()
}
