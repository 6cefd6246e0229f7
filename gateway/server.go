package gateway

import (
	"context"
	"errors"
	"io"
	stdlog "log"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"

	"github.com/aspenswitch/aspenswitch/obs"
	"github.com/aspenswitch/aspenswitch/retry"
	"github.com/aspenswitch/aspenswitch/upstream"
)

// Error is the class of this package's errors.
var Error = errs.Class("gateway")

// Server takes callers' requests.
type Server struct {
	cfg    Config
	state  StateReader
	placer Placer
	pool   *upstream.Pool
	log    *obs.LimitedLogger
	stats  *stats
	start  time.Time

	// availability has the upstreams that have sent this router a leaving notice.
	availability *upstreamAvailability

	shedder *shedder
	teams   teamLoads

	// mu guards budget.
	mu     sync.Mutex
	budget retry.Budget

	// stopping is when Shutdown began, in nanoseconds since start; 0 before.
	stopping atomic.Int64
	conns    atomic.Int64
	requests atomic.Int64
	counts   counts
	http     *http.Server
	bounded  *boundedListener

	// base ends when waiting requests are given up at the end of a stop.
	base   context.Context
	giveUp context.CancelCauseFunc
}

// errStopping is why requests end that are given up at the end of a stop.
var errStopping = errors.New("the router is stopping")

// New returns a server.
func New(cfg Config, state StateReader, placer Placer, pool *upstream.Pool, budget retry.Budget, log *obs.LimitedLogger, metrics *obs.Metrics) *Server {
	base, giveUp := context.WithCancelCause(context.Background())
	return &Server{
		cfg: cfg, state: state, placer: placer, pool: pool, budget: budget,
		log: log, stats: newStats(metrics.Scope), start: time.Now(), shedder: newShedder(cfg.Shed), availability: newUpstreamAvailability(),
		base: base, giveUp: giveUp,
	}
}

// configWait is how long a new process holds callers back until it knows a
// configuration: the listener's limits come from it, and a caller that waits
// this long is better off than one that is turned away.
const configWait = 500 * time.Millisecond

// Serve takes connections until Shutdown.
func (s *Server) Serve(l net.Listener) error {
	until := time.Now().Add(configWait)
	for s.state.Snapshot() == nil && time.Now().Before(until) {
		time.Sleep(configWait / 50)
	}
	bounded, err := newBoundedListener(l, &s.cfg, s.log, s.turnedAway)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.bounded = bounded
	s.http = s.newHTTP()
	server := s.http
	s.mu.Unlock()
	if err := server.Serve(bounded); !errors.Is(err, http.ErrServerClosed) {
		return Error.Wrap(err)
	}
	return nil
}

// turnedAway counts connections that were refused before they were taken.
func (s *Server) turnedAway(n int, took time.Duration) {
	s.counts.turnedAway.Add(int64(n))
	s.counts.turningAway.Add(int64(took))
}

func (s *Server) newHTTP() *http.Server {
	h := &http.Server{
		Handler:                      s,
		ConnState:                    s.connState,
		BaseContext:                  func(net.Listener) context.Context { return s.base },
		ReadHeaderTimeout:            s.cfg.HeaderTimeout,
		IdleTimeout:                  s.cfg.IdleTimeout,
		MaxHeaderBytes:               s.cfg.MaxHeaderBytes,
		DisableGeneralOptionsHandler: true,
		// What it says concerns callers that break off, which the record tells.
		ErrorLog: stdlog.New(io.Discard, "", 0),
	}
	if state := s.state.Snapshot(); state != nil {
		limits := state.Table.Config.Limits
		if limits.HeaderTimeout > 0 {
			h.ReadHeaderTimeout = limits.HeaderTimeout
		}
		if limits.IdleTimeout > 0 {
			h.IdleTimeout = limits.IdleTimeout
		}
		if limits.MaxHeaderBytes > 0 {
			h.MaxHeaderBytes = limits.MaxHeaderBytes
		}
	}
	return h
}

// connState counts callers' connections.
func (s *Server) connState(_ net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		s.conns.Add(1)
		s.counts.opened.Add(1)
	case http.StateClosed, http.StateHijacked:
		s.conns.Add(-1)
		s.bounded.closed()
	case http.StateActive, http.StateIdle:
	}
}

// Stopping reports whether Shutdown has begun.
func (s *Server) Stopping() bool { return s.stopping.Load() != 0 }

// closing reports whether the server takes no more requests.
func (s *Server) closing() bool {
	since := time.Duration(s.stopping.Load())
	return since != 0 && time.Since(s.start)-since > s.cfg.ForwardPeriod
}

// Shutdown ends the server without cutting an answer. The balancer takes a
// while to see that the VM isn't ready, and callers keep their connections, so
// the listener stays open for the linger and each answer closes its connection.
func (s *Server) Shutdown(ctx context.Context) error {
	s.stopping.Store(int64(time.Since(s.start)))
	linger := time.NewTimer(s.cfg.ShutdownDelay)
	defer linger.Stop()
	select {
	case <-ctx.Done():
	case <-linger.C:
	}
	s.mu.Lock()
	server := s.http
	s.mu.Unlock()
	if server == nil {
		return nil
	}
	if err := server.Shutdown(ctx); err != nil {
		return Error.Wrap(errors.Join(err, s.answerAll(server)))
	}
	return nil
}

// lastAnswers is the time to tell the callers that still wait that nothing comes: a
// write to each of some hundred connections.
const lastAnswers = 200 * time.Millisecond

// answerAll gives up the requests that still wait, so that their callers get an
// answer. Those of an upstream that has fallen silent would else see a connection
// that ends without one, at the very end of the grace. Streams that have begun are
// cut. It returns an error if some were not answered in time.
func (s *Server) answerAll(server *http.Server) error {
	s.giveUp(errStopping)
	ctx, cancel := context.WithTimeout(context.Background(), lastAnswers)
	defer cancel()
	return server.Shutdown(ctx)
}

// Close cuts what still runs.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.http != nil {
		_ = s.http.Close() // connections that are gone already
	}
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, in *http.Request) {
	if s.Stopping() || s.conns.Load() > int64(s.cfg.MaxKeepAliveConns) {
		w.Header().Set("Connection", "close")
	}
	s.stats.begin()
	s.counts.asked.Add(1)
	held := s.requests.Add(1)
	defer s.requests.Add(-1)
	r, refused := s.accept(in, held > int64(s.cfg.MaxRequests))
	cut := false
	if refused == nil {
		refused, cut = s.serve(w, r)
	}
	if refused != nil {
		if refused.outcome == retry.NotRun {
			s.counts.refused.Add(1)
		}
		r.record.status = refused.status
		r.record.outcome = string(refused.outcome)
		r.record.retryAfter = refused.retryAfter
		r.record.cause = join(refused.code, r.record.cause)
		refused.write(w)
	}
	s.finish(r)
	if cut {
		// The answer has begun and can't be completed: only a connection that
		// breaks shows the caller that it isn't whole.
		panic(http.ErrAbortHandler)
	}
}

func join(code, cause string) string {
	if cause == "" {
		return code
	}
	return code + ": " + cause
}

// finish writes the request's line in the log and counts it.
func (s *Server) finish(r *request) {
	took := time.Since(r.arrived)
	s.stats.end(&r.record, took)
	if r.record.outcome == string(retry.Ran) && r.record.cause == "" {
		s.log.Info("served", func(e *obs.Event) { e.EmbedObject(&r.record).Int64("took_ms", took.Milliseconds()).Msg("request") })
		return
	}
	s.log.Warn("failed", func(e *obs.Event) { e.EmbedObject(&r.record).Int64("took_ms", took.Milliseconds()).Msg("request") })
}
