package gateway

import (
	"context"
	"errors"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"

	"github.com/aspenswitch/aspenswitch/abort"
	"github.com/aspenswitch/aspenswitch/durations"
	"github.com/aspenswitch/aspenswitch/obs"
	"github.com/aspenswitch/aspenswitch/resumption"
	"github.com/aspenswitch/aspenswitch/retry"
	"github.com/aspenswitch/aspenswitch/upstream"
)

// Error is the class of this package's errors.
var Error = errs.Class("gateway")

// Server accepts callers' requests and forwards them to upstreams.
type Server struct {
	cfg    Config
	state  StateReader
	placer Placer
	pool   *upstream.Pool
	log    *obs.LimitedLogger
	stats  *stats
	start  time.Time

	// availability holds the upstreams that have sent this router a leaving notice.
	availability *upstreamAvailability
	path         *upstreamPath

	shedder *shedder
	teams   teamLoads
	bodies  *bodyBudget
	// streamAges bounds the ages of streams that callers continue.
	streamAges streamAges

	// mu guards budget, listener, servers and closed.
	mu     sync.Mutex
	budget retry.Budget
	// servers has the callerServer of the limits in force as its last element, and those of former
	// limits that have open connections.
	servers []*callerServer
	// closed is set by Shutdown and Close: no other callerServer starts after that.
	closed bool
	// nextConn is a connection that was accepted when the limits had changed. Only the goroutine of
	// Serve uses it.
	nextConn net.Conn

	// runTimes has the run times of each route's requests.
	runTimes runTimes
	// stoppingSince is when Shutdown was called, and abortAt when pending requests are aborted, in
	// nanoseconds since start; 0 before, and if they aren't limited in time. stopping ends then.
	stoppingSince  atomic.Int64
	abortAt        atomic.Int64
	stopping       context.Context
	beginStop      context.CancelFunc
	openConns      atomic.Int64
	activeRequests atomic.Int64
	counts         counts
	listener       *boundedListener

	// baseCtx is canceled when pending requests are aborted at the end of a shutdown.
	baseCtx        context.Context
	cancelRequests context.CancelCauseFunc
}

// errStopping is the cancellation cause of requests that are aborted at the end of a
// shutdown.
var errStopping = errors.New("the router is shutting down")

// New returns a Server; call Serve to accept connections.
func New(cfg Config, state StateReader, placer Placer, pool *upstream.Pool, budget retry.Budget, log *obs.LimitedLogger, metrics *obs.Metrics) *Server {
	baseCtx, cancelRequests := context.WithCancelCause(context.Background())
	stopping, beginStop := context.WithCancel(context.Background())
	return &Server{
		cfg: cfg, state: state, placer: placer, pool: pool, budget: budget,
		log: log, stats: newStats(metrics.Scope), start: time.Now(), shedder: newShedder(cfg.Shed), availability: newUpstreamAvailability(), path: newUpstreamPath(), bodies: newBodyBudget(cfg.MaxRequests), streamAges: streamAges{routes: map[string]*resumption.AgeBound{}},
		runTimes: runTimes{routes: map[string]*durations.Estimator{}}, stopping: stopping, beginStop: beginStop,
		baseCtx: baseCtx, cancelRequests: cancelRequests,
	}
}

// initialConfigTimeout is how long Serve waits for the first configuration before it
// accepts connections: a short wait is better for callers than a refusal.
const initialConfigTimeout = 500 * time.Millisecond

// Serve accepts connections until Shutdown or Close is called. Connections have the limits of the
// configuration that is in force when they are accepted.
func (s *Server) Serve(l net.Listener) error {
	deadline := time.Now().Add(initialConfigTimeout)
	for s.state.Snapshot() == nil && time.Now().Before(deadline) {
		time.Sleep(initialConfigTimeout / 50)
	}
	bounded, err := newBoundedListener(l, &s.cfg, s.log, s.countRejected)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.listener = bounded
	s.mu.Unlock()
	defer func() {
		_ = bounded.Close() // has no effect if it is closed
		if s.nextConn != nil {
			_ = s.nextConn.Close()
		}
	}()
	for {
		server := s.startCallerServer()
		if server == nil {
			return nil
		}
		err := server.Serve(&limitsListener{boundedListener: bounded, server: s, limits: server.limits})
		switch {
		case errors.Is(err, errLimitsChanged):
			s.log.Info("caller_limits", func(e *obs.Event) { e.Msg("the limits on callers' headers and idle time have changed") })
		case errors.Is(err, http.ErrServerClosed):
			return nil
		default:
			return Error.Wrap(err)
		}
	}
}

// startCallerServer returns a callerServer with the limits in force, or nil after Shutdown or Close.
func (s *Server) startCallerServer() *callerServer {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return nil
	}
	s.servers = slices.DeleteFunc(s.servers, func(c *callerServer) bool { return c.conns.Load() == 0 })
	server := s.newCallerServer(s.callerLimits())
	s.servers = append(s.servers, server)
	return server
}

// closeServers returns the servers of all connections. No other one starts after that.
func (s *Server) closeServers() []*callerServer {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	return slices.Clone(s.servers)
}

// countRejected counts connections that were refused before they were accepted, and the
// time spent on them.
func (s *Server) countRejected(n int, took time.Duration) {
	s.counts.rejected.Add(int64(n))
	s.counts.rejectionTime.Add(int64(took))
}

// connState counts callers' connections and releases their listener slots.
func (s *Server) connState(state http.ConnState) {
	switch state {
	case http.StateNew:
		s.openConns.Add(1)
		s.counts.opened.Add(1)
	case http.StateClosed, http.StateHijacked:
		s.openConns.Add(-1)
		s.listener.releaseSlot()
	case http.StateActive, http.StateIdle:
	}
}

// Stopping reports whether Shutdown has been called.
func (s *Server) Stopping() bool { return s.stoppingSince.Load() != 0 }

// forwardingEnded reports whether a stopping server refuses new requests.
func (s *Server) forwardingEnded() bool {
	stopping := time.Duration(s.stoppingSince.Load())
	return stopping != 0 && time.Since(s.start)-stopping > s.cfg.ForwardPeriod
}

// Shutdown stops the server gracefully and lets running responses complete until ctx is
// done. The load balancer needs time to detect that the VM isn't ready, and callers keep
// their connections alive, so the listener stays open for the ShutdownDelay and each
// response closes its connection. Requests that can't be expected to end before ctx is done are refused.
func (s *Server) Shutdown(ctx context.Context) error {
	if end, limited := ctx.Deadline(); limited {
		s.abortAt.Store(int64(end.Sub(s.start)))
	}
	s.stoppingSince.Store(int64(time.Since(s.start)))
	s.beginStop()
	delay := time.NewTimer(s.cfg.ShutdownDelay)
	defer delay.Stop()
	select {
	case <-ctx.Done():
	case <-delay.C:
	}
	servers := s.closeServers()
	if err := shutdownAll(ctx, servers); err != nil {
		return Error.Wrap(errors.Join(err, s.abortPending(servers)))
	}
	return nil
}

// shutdownAll shuts servers down gracefully, all at the same time. Until ctx is done, none of them has
// to wait for another one's requests.
func shutdownAll(ctx context.Context, servers []*callerServer) error {
	results := make([]error, len(servers))
	var wg sync.WaitGroup
	for i, server := range servers {
		wg.Go(func() { results[i] = server.Shutdown(ctx) })
	}
	wg.Wait()
	return errors.Join(results...)
}

// finalResponseTimeout is the time for sending error responses to the callers that still
// wait: one write to each of a few hundred connections.
const finalResponseTimeout = 200 * time.Millisecond

// abortPending cancels the pending requests, so that their callers receive an error
// response. Otherwise the callers of an unresponsive upstream would see their connection
// close without a response at the end of the grace period. Streams that have started are
// truncated. It returns an error if some requests did not end in time.
func (s *Server) abortPending(servers []*callerServer) error {
	s.cancelRequests(errStopping)
	ctx, cancel := context.WithTimeout(context.Background(), finalResponseTimeout)
	defer cancel()
	return shutdownAll(ctx, servers)
}

// Close closes all connections immediately.
func (s *Server) Close() {
	for _, server := range s.closeServers() {
		_ = server.Close() // errors are about connections that are already closed
	}
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, in *http.Request) {
	if s.Stopping() || s.openConns.Load() > int64(s.cfg.MaxKeepAliveConns) || s.hasFormerLimits(in) {
		w.Header().Set("Connection", "close")
	}
	s.stats.begin()
	s.counts.received.Add(1)
	active := s.activeRequests.Add(1)
	defer s.activeRequests.Add(-1)
	r, refused := s.accept(in, http.NewResponseController(w), s.bodies.full(active-1))
	defer r.body.release()
	truncated := false
	if refused == nil {
		refused, truncated = s.serve(w, r)
	}
	if r.trialOf != nil && !r.trialResult {
		s.placer.EndTrial(r.trialOf)
	}
	if refused != nil {
		if refused.outcome == retry.NotRun {
			s.counts.refused.Add(1)
		}
		if refused.code == codeRouterBusy || refused.code == codeRouterFull {
			s.counts.busy.Add(1)
		}
		r.record.status = refused.status
		r.record.outcome = string(refused.outcome)
		r.record.retryAfter = refused.retryAfter
		r.record.cause = joinCause(refused.code, r.record.cause)
		refused.write(w)
		if refused.bodyUnread {
			s.discardBody(w, in)
		}
	}
	s.finish(r)
	if truncated {
		abort.Response(w, in)
	}
}

func joinCause(code, cause string) string {
	if cause == "" {
		return code
	}
	return code + ": " + cause
}

// finish logs the request and updates the metrics.
func (s *Server) finish(r *request) {
	took := time.Since(r.arrived)
	s.stats.end(&r.record, took)
	if r.record.outcome == string(retry.Ran) && r.record.cause == "" {
		s.log.Info("served", func(e *obs.Event) { e.EmbedObject(&r.record).Int64("took_ms", took.Milliseconds()).Msg("request") })
		return
	}
	s.log.Warn("failed", func(e *obs.Event) { e.EmbedObject(&r.record).Int64("took_ms", took.Milliseconds()).Msg("request") })
}
