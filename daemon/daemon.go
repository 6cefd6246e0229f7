// Package daemon puts a router process together: listeners, TLS, the callers'
// and operators' APIs, and a graceful shutdown.
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

// Daemon is one router process.
type Daemon struct {
	settings settings.Settings
	log      zerolog.Logger
	router   *router.Router
	metrics  *obs.Metrics
	callers  *http.Server
	admin    *http.Server
	listen   [2]net.Listener
	peers    net.Addr
	drain    chan struct{}
	once     sync.Once
}

// New opens the listeners. Run serves. tune, if not nil, changes what settings
// leave fixed.
func New(s settings.Settings, log zerolog.Logger, tune func(*router.Config)) (*Daemon, error) {
	d := &Daemon{settings: s, log: log, metrics: obs.NewMetrics("aspenswitch"), drain: make(chan struct{})}
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
	d.callers = callers.NewHTTPServer(callers.New(d.router, log).Handler())
	d.admin = callers.NewHTTPServer(admin.New(d.router, s.Admin.TokenHash, d.Drain).Handler())
	if d.listen[0], err = listen(s.Callers); err != nil {
		return nil, err
	}
	d.listen[1], err = listen(s.Admin.Listener)
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

// Addresses are where the daemon listens, for settings with port 0.
type Addresses struct{ Callers, Admin, Peers string }

// Addresses returns where the daemon listens.
func (d *Daemon) Addresses() Addresses {
	return Addresses{
		Callers: d.listen[0].Addr().String(),
		Admin:   d.listen[1].Addr().String(),
		Peers:   d.peers.String(),
	}
}

// Drain begins a graceful shutdown.
func (d *Daemon) Drain() { d.once.Do(func() { close(d.drain) }) }

// Run serves until Drain or ctx ends. After Drain running answers go on for the
// grace; when ctx ends everything does.
func (d *Daemon) Run(ctx context.Context) error {
	d.router.Start()
	go func() { _ = d.callers.Serve(d.listen[0]) }()
	go func() { _ = d.admin.Serve(d.listen[1]) }()
	d.log.Info().Str("callers", d.listen[0].Addr().String()).Str("admin", d.listen[1].Addr().String()).Msg("serving")
	select {
	case <-ctx.Done():
	case <-d.drain:
		d.shutdown(ctx)
	}
	_ = d.callers.Close()
	_ = d.admin.Close()
	d.router.Stop()
	return Error.Wrap(d.metrics.Close())
}

// shutdown lets running answers end.
func (d *Daemon) shutdown(ctx context.Context) {
	grace, done := context.WithTimeout(ctx, time.Duration(d.settings.ShutdownGrace))
	defer done()
	d.log.Info().Dur("grace", time.Duration(d.settings.ShutdownGrace)).Msg("shutting down")
	running := d.router.Drain(grace)
	if running > 0 {
		d.log.Error().Int("requests", running).Msg("grace is over: requests are cut")
		return
	}
	if err := d.callers.Shutdown(grace); err != nil {
		d.log.Error().Err(err).Msg("grace is over: answers are cut")
		return
	}
	d.log.Info().Msg("shut down, nothing was cut")
}
