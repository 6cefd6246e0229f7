package daemon

import (
	"context"
	"net"
	"net/http"
	"runtime/debug"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/rs/zerolog"

	"github.com/aspenswitch/aspenswitch/boottime"
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

// FleetDaemon is a router process on a platform that publishes configuration and
// upstreams.
type FleetDaemon struct {
	settings  settings.Fleet
	log       zerolog.Logger
	metrics   *obs.Metrics
	node      *fleet.Node
	feed      *feed.Feed
	pool      *upstream.Pool
	gateway   *gateway.Server
	listeners fleetListeners
}

type fleetListeners struct{ callers, readiness, control, metrics net.Listener }

// NewFleetDaemon opens the listeners. Run serves.
func NewFleetDaemon(s settings.Fleet, log zerolog.Logger) (*FleetDaemon, error) {
	// The limit makes the collector work harder before the process is killed
	// for its memory; a quarter is left for what it doesn't count.
	debug.SetMemoryLimit(int64(s.MemoryMB) << 20 * 3 / 4)
	d := &FleetDaemon{settings: s, log: log, metrics: obs.NewMetrics("aspenswitch"), pool: upstream.NewPool(upstream.DefaultPoolConfig())}
	if err := d.open(); err != nil {
		return nil, err
	}
	nodeCfg := nodeConfig(s)
	nodeCfg.CachedParts = func(ctx context.Context, address string) (fleet.CacheReport, error) {
		return platform.FetchCachedParts(ctx, d.pool, address)
	}
	nodeCfg.WarmUpLeft = func(ctx context.Context, u *registry.Upstream, healthPath string) (time.Duration, error) {
		return platform.FetchWarmUpLeft(ctx, d.pool, u, healthPath)
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
	cfg := gateway.DefaultConfig()
	cfg.Headers = platform.HTTPHeaders()
	cfg.Regions = s.Regions
	cfg.Fit(int64(s.MemoryMB)<<20, s.Files)
	cfg.GracePeriod = s.Bounds.TerminationGracePeriod()
	cfg.MaxViewAge = s.Bounds.MaxApplyDelay() * 4 / 5
	cfg.ShutdownDelay = min(cfg.ShutdownDelay, cfg.GracePeriod/2)
	cfg.ForwardPeriod = min(cfg.ForwardPeriod, cfg.GracePeriod/3)
	budget := retry.Budget{Ratio: s.Bounds.RetryRatio, Allowance: s.Bounds.RetryAllowance, Window: s.Bounds.RetryWindow()}
	d.gateway = gateway.New(cfg, d.feed, node, d.pool, budget, obs.NewLimitedLogger(log, s.LogLines), d.metrics)
	return d, nil
}

func nodeConfig(s settings.Fleet) fleet.Config {
	cfg := fleet.DefaultConfig()
	cfg.IP, cfg.Port, cfg.Domain, cfg.Weight = s.Peers.IP, s.Peers.Port, s.FailureDomain, s.Processor
	cfg.Seeds = seedIPs(s.Peers.Seeds)
	// A view that its own router would renew is too old to pass on.
	cfg.MaxLeaderStateAge = feed.DefaultConfig(s.Bounds.MaxRevocationDelay(), s.Bounds.MaxApplyDelay()).MaxFollowerAge
	// A view passes two routers on its way and must arrive well before that age.
	cfg.StatePollInterval = cfg.MaxLeaderStateAge / 6
	cfg.Regions, cfg.WarmUp = s.Regions, s.Bounds.WarmUp()
	cfg.Engine.ShareWindow = time.Duration(s.Bounds.ShareWindowS * float64(time.Second))
	return cfg
}

// platformClient keeps one connection for the watch. Calls carry deadlines.
func platformClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
		MaxIdleConnsPerHost: 1,
		IdleConnTimeout:     10 * time.Second,
		DisableCompression:  true,
	}}
}

func (d *FleetDaemon) open() error {
	ip, _, err := net.SplitHostPort(d.settings.Control)
	if err != nil {
		return Error.Wrap(err)
	}
	for _, l := range []struct {
		to      *net.Listener
		address string
	}{
		{&d.listeners.callers, d.settings.Callers},
		{&d.listeners.readiness, d.settings.Readiness},
		{&d.listeners.control, d.settings.Control},
		{&d.listeners.metrics, net.JoinHostPort(ip, strconv.Itoa(d.settings.Metrics))},
	} {
		// Keep-alive probes would cost four system calls for each connection that
		// a caller opens; idle callers end by the idle timeout, others by their
		// request's deadline.
		plain := net.ListenConfig{KeepAlive: -1}
		if *l.to, err = plain.Listen(context.Background(), "tcp4", l.address); err != nil {
			return Error.Wrap(err)
		}
	}
	return nil
}

// CallersAddress is where callers are heard, for settings with port 0.
func (d *FleetDaemon) CallersAddress() string { return d.listeners.callers.Addr().String() }

// ControlAddress returns the address of the control listener, for settings with port 0.
func (d *FleetDaemon) ControlAddress() string { return d.listeners.control.Addr().String() }

// Run serves until ctx ends or Drain's grace is over.
func (d *FleetDaemon) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go d.node.Run(ctx)
	go d.feed.Run(ctx)
	go d.sweep(ctx)
	go d.tellLoad(ctx)
	go d.tellTeams(ctx)
	go d.paceCollector(ctx)
	go d.side(d.listeners.readiness, d.readiness())
	go d.side(d.listeners.control, d.control())
	go d.side(d.listeners.metrics, d.metrics.Handler)
	d.log.Info().Str("event", "start").Str("callers", d.settings.Callers).Str("failure_domain", d.settings.FailureDomain).Msg("serving")
	return d.gateway.Serve(d.listeners.callers)
}

// side serves one of the small listeners; it ends with the process.
func (d *FleetDaemon) side(l net.Listener, h http.Handler) {
	server := &http.Server{Handler: h, ReadHeaderTimeout: sideTimeout, IdleTimeout: sideIdle}
	if err := server.Serve(l); err != nil {
		d.log.Error().Str("event", "listener").Stringer("address", l.Addr()).Err(err).Msg("listener ended")
	}
}

const (
	sideTimeout = 3 * time.Second
	sideIdle    = 20 * time.Second
	// sweepEvery is how often idle connections are looked at: well within the
	// margin by which they close before the upstream does.
	sweepEvery = 300 * time.Millisecond
)

func (d *FleetDaemon) sweep(ctx context.Context) {
	ticker := time.NewTicker(sweepEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			d.pool.CloseExpired(now)
		}
	}
}

// Ready reports whether the balancer should send connections here: not while
// stopping, and not while this router's view is too old to serve.
func (d *FleetDaemon) Ready() bool {
	return !d.gateway.Stopping() && d.feed.Snapshot() != nil && d.feed.Fresh()
}

func (d *FleetDaemon) readiness() http.Handler {
	e := quietEcho()
	e.GET(platform.ReadyPath, func(c echo.Context) error {
		if !d.Ready() {
			return c.NoContent(http.StatusServiceUnavailable)
		}
		return c.NoContent(http.StatusOK)
	})
	return e
}

// control serves operators.
func (d *FleetDaemon) control() http.Handler {
	e := quietEcho()
	e.GET("/dump", func(c echo.Context) error { return c.JSON(http.StatusOK, d.dump()) })
	e.GET("/metrics", echo.WrapHandler(d.metrics.Handler))
	e.POST("/quarantine/release", d.release)
	return e
}

// release handles requests to end the quarantine of a team's content at all routers.
func (d *FleetDaemon) release(c echo.Context) error {
	id, err := quarantine.ParseContentID(c.QueryParam("team"), c.QueryParam("content"))
	if err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	if d.node.Quarantine().Status(id) == quarantine.Normal {
		return echo.NewHTTPError(http.StatusNotFound, "content "+id.String()+" of team "+strconv.Quote(id.Team)+" is neither suspect nor in quarantine")
	}
	d.node.Release(id)
	return c.NoContent(http.StatusNoContent)
}

// fleetDump is a process's state on request.
type fleetDump struct {
	Ready         bool       `json:"ready"`
	Stopping      bool       `json:"stopping"`
	ConfigVersion int64      `json:"configVersion"`
	PlatformCalls int64      `json:"platformCalls"`
	Connections   int64      `json:"upstreamConnectionsOpened"`
	Datagrams     int64      `json:"datagramsSent"`
	Node          fleet.Dump `json:"node"`
}

func (d *FleetDaemon) dump() fleetDump {
	return fleetDump{
		Ready: d.Ready(), Stopping: d.gateway.Stopping(), ConfigVersion: d.feed.Snapshot().ConfigVersion(),
		PlatformCalls: d.feed.Calls(), Connections: d.pool.Dials(), Datagrams: d.node.Datagrams(), Node: d.node.Dump(),
	}
}

func quietEcho() *echo.Echo {
	e := echo.New()
	e.HideBanner, e.HidePort = true, true
	return e
}

// stopMargin is left of the grace for the process to end by itself.
const stopMargin = 400 * time.Millisecond

// Drain ends the process without cutting answers, within the grace.
func (d *FleetDaemon) Drain() {
	grace := d.settings.Bounds.TerminationGracePeriod() - stopMargin
	ctx, cancel := context.WithTimeout(context.Background(), grace)
	defer cancel()
	d.log.Info().Str("event", "stop").Dur("grace", grace).Msg("stopping")
	d.node.Leave()
	if err := d.gateway.Shutdown(ctx); err != nil {
		d.log.Error().Str("event", "stop").Err(err).Msg("grace is over: answers are cut")
	}
	d.gateway.Close()
}
