// Package daemon assembles a router process: listeners, TLS, the APIs for callers
// and operators, and graceful shutdown.
package daemon

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/zeebo/errs"

	"github.com/aspenswitch/aspenswitch/admin"
	"github.com/aspenswitch/aspenswitch/bundlefeed"
	"github.com/aspenswitch/aspenswitch/callers"
	"github.com/aspenswitch/aspenswitch/certs"
	"github.com/aspenswitch/aspenswitch/obs"
	"github.com/aspenswitch/aspenswitch/router"
	"github.com/aspenswitch/aspenswitch/settings"
)

// Error is the class of this package's errors.
var Error = errs.Class("daemon")

// Daemon is the router process that is configured by signed bundles. It serves requests
// with packages callers, router, sched and lease. FleetDaemon is the alternative on the
// users' platform.
type Daemon struct {
	settings       settings.Settings
	log            zerolog.Logger
	router         *router.Router
	metrics        *obs.Metrics
	callers        *http.Server
	api            *callers.Server
	admin          *http.Server
	listeners      [2]net.Listener
	peers          net.Addr
	drainRequested chan struct{}
	drainOnce      sync.Once
}

// New creates a Daemon and opens its listeners; Run serves them. If tune is not nil, it
// adjusts the parts of the router's configuration that settings can't change.
func New(s settings.Settings, log zerolog.Logger, tune func(*router.Config)) (*Daemon, error) {
	d := &Daemon{settings: s, log: log, metrics: obs.NewMetrics("aspenswitch"), drainRequested: make(chan struct{})}
	peers, err := net.Listen("tcp", s.Peers.Listen)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	d.peers = peers.Addr()
	peerTLS, err := peerTLS(s.Peers)
	if err != nil {
		return nil, err
	}
	cfg := router.NewConfig(s, router.NewIncarnation(time.Now()))
	if tune != nil {
		tune(&cfg)
	}
	d.router = router.New(cfg, router.Deps{
		Log: log, Metrics: d.metrics, PeerListener: peers, PeerTLS: peerTLS,
		Platform: bundlefeed.NewClient(s.Platform.URL, cfg.WatchTimeout),
	})
	d.api = callers.New(d.router, log)
	d.callers = callers.NewHTTPServer(d.api.Handler())
	d.admin = callers.NewHTTPServer(admin.New(d.router, s.Admin.TokenHash, d.Drain).Handler())
	if d.listeners[0], err = listen(s.Callers); err != nil {
		return nil, err
	}
	d.listeners[1], err = listen(s.Admin.Listener)
	return d, err
}

func listen(l settings.Listener) (net.Listener, error) {
	plain, err := net.Listen("tcp", l.Listen)
	if err != nil || l.CertFile == "" {
		return plain, Error.Wrap(err)
	}
	cfg, err := certs.ServerConfig(l.CertFile, l.KeyFile, l.CAFile)
	if err != nil {
		return nil, err
	}
	return tls.NewListener(plain, cfg), nil
}

func peerTLS(l settings.Listener) (router.PeerTLS, error) {
	if l.CertFile == "" {
		return router.PeerTLS{}, nil
	}
	server, err := certs.ServerConfig(l.CertFile, l.KeyFile, l.CAFile)
	if err != nil {
		return router.PeerTLS{}, err
	}
	client, err := certs.ClientConfig(l.CertFile, l.KeyFile, l.CAFile)
	return router.PeerTLS{Server: server, Client: client}, err
}

// Addresses are the addresses of the daemon's listeners. They show the ports that were
// chosen for settings with port 0.
type Addresses struct{ Callers, Admin, Peers string }

// Addresses returns the addresses of the listeners.
func (d *Daemon) Addresses() Addresses {
	return Addresses{
		Callers: d.listeners[0].Addr().String(),
		Admin:   d.listeners[1].Addr().String(),
		Peers:   d.peers.String(),
	}
}

// Drain starts a graceful shutdown. It does not wait for the end.
func (d *Daemon) Drain() { d.drainOnce.Do(func() { close(d.drainRequested) }) }

// Run serves until Drain is called or ctx is done. After Drain, running requests may finish
// within the shutdown grace period; when ctx is done, they are aborted.
func (d *Daemon) Run(ctx context.Context) error {
	d.router.Start()
	go func() { _ = d.callers.Serve(d.listeners[0]) }()
	go func() { _ = d.admin.Serve(d.listeners[1]) }()
	d.log.Info().Str("callers", d.listeners[0].Addr().String()).Str("admin", d.listeners[1].Addr().String()).Msg("serving")
	select {
	case <-ctx.Done():
	case <-d.drainRequested:
		d.shutdown(ctx)
	}
	_ = d.callers.Close()
	_ = d.admin.Close()
	d.router.Stop()
	return Error.Wrap(d.metrics.Close())
}

// abortAnswerTime is the time for sending answers to the callers of aborted requests.
const abortAnswerTime = 500 * time.Millisecond

// shutdown waits for running requests to finish, for at most the shutdown grace period.
func (d *Daemon) shutdown(ctx context.Context) {
	graceCtx, cancel := context.WithTimeout(ctx, time.Duration(d.settings.ShutdownGrace))
	defer cancel()
	d.log.Info().Dur("grace", time.Duration(d.settings.ShutdownGrace)).Msg("shutting down")
	running := d.router.Drain(graceCtx)
	if running > 0 {
		d.log.Error().Int("requests", running).Msg("grace period expired; aborting running requests")
		d.api.Abort()
		answerCtx, cancel := context.WithTimeout(ctx, abortAnswerTime)
		defer cancel()
		_ = d.callers.Shutdown(answerCtx) // requests that don't end in time are closed
		return
	}
	if err := d.callers.Shutdown(graceCtx); err != nil {
		d.log.Error().Err(err).Msg("grace period expired; aborting unfinished responses")
		return
	}
	d.log.Info().Msg("shut down; nothing was cut")
}
