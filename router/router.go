package router

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/zeebo/errs"

	"github.com/aspenswitch/aspenswitch/bundle"
	"github.com/aspenswitch/aspenswitch/bundlefeed"
	"github.com/aspenswitch/aspenswitch/obs"
	"github.com/aspenswitch/aspenswitch/peer"
	"github.com/aspenswitch/aspenswitch/upstream"
)

// Error is the class of this package's errors.
var Error = errs.Class("router")

// messageQueueLen is the capacity of the control goroutine's message queue.
const messageQueueLen = 1024

// Router is the core of a router process: it schedules requests, claims
// idempotency keys and keeps the bundle up to date.
type Router struct {
	cfg       Config
	log       zerolog.Logger
	metrics   *obs.Metrics
	mesh      *peer.Mesh
	platform  *bundlefeed.Client
	Upstreams *upstream.Client

	messages chan message
	stopped  chan struct{}
	stopOnce sync.Once
	wg       sync.WaitGroup
	ctx      context.Context
	cancel   context.CancelFunc
	lastID   atomic.Uint64
	inForce  atomic.Pointer[indexedBundle]
	vms      atomic.Pointer[vmList]
	watching atomic.Bool
	draining atomic.Bool
	// wasListed is set once the platform's list of VMs has included this one.
	wasListed atomic.Bool
	// started is the time since which this process has kept its votes.
	started time.Time
}

// Deps holds the dependencies of a Router.
type Deps struct {
	Log     zerolog.Logger
	Metrics *obs.Metrics
	// PeerListener accepts connections from peers.
	PeerListener net.Listener
	Platform     *bundlefeed.Client
	// PeerTLS is used between routers if it is set.
	PeerTLS PeerTLS
}

// New returns a router that does nothing until Start is called.
func New(cfg Config, d Deps) *Router {
	ctx, cancel := context.WithCancel(context.Background())
	r := &Router{
		cfg: cfg, log: d.Log, metrics: d.Metrics, platform: d.Platform,
		Upstreams: upstream.NewClient(cfg.Upstream),
		messages:  make(chan message, messageQueueLen),
		stopped:   make(chan struct{}),
		started:   time.Now(),
		ctx:       ctx, cancel: cancel,
	}
	meshConfig := peer.DefaultConfig(&peerHandler{r: r}, d.Log)
	meshConfig.ServerTLS, meshConfig.ClientTLS = d.PeerTLS.Server, d.PeerTLS.Client
	r.mesh = peer.NewMesh(meshConfig, d.PeerListener)
	return r
}

// Start starts the control goroutine, the peer listener, and the polls and watches.
func (r *Router) Start() {
	c := newController(r, time.Now())
	r.wg.Go(func() { c.run(r.stopped) })
	r.wg.Go(r.mesh.Serve)
	r.wg.Go(r.pollVMs)
	r.wg.Go(r.watchBundle)
	r.wg.Go(r.pollLoads)
}

// Stop stops the router immediately. Call Drain first for a graceful shutdown.
func (r *Router) Stop() {
	r.stopOnce.Do(func() {
		r.cancel()
		close(r.stopped)
		r.mesh.Close()
		r.wg.Wait()
		r.Upstreams.Close()
	})
}

// Drain begins a graceful shutdown. The router accepts no new requests, and Drain
// returns when no request is running or ctx ends. It returns the number of
// requests that are still running.
func (r *Router) Drain(ctx context.Context) int {
	r.draining.Store(true)
	r.post(beginDrain{})
	ticker := time.NewTicker(r.cfg.TickInterval)
	defer ticker.Stop()
	for {
		running := 0
		r.inspect(func(c *controller) { running = c.node.Running() })
		if running == 0 {
			return 0
		}
		select {
		case <-ctx.Done():
			return running
		case <-ticker.C:
		}
	}
}

// post sends a message to the control goroutine.
func (r *Router) post(m message) {
	select {
	case r.messages <- m:
	case <-r.stopped:
	}
}

// inspect calls read on the control goroutine and waits until it returns. It doesn't call read if the
// router stops first.
func (r *Router) inspect(read func(*controller)) {
	i := newInspection(read)
	r.post(i)
	i.wait(r.stopped)
}

// Ready reports whether the router can serve callers: it has a bundle in force,
// its voter votes on newly created keys, the platform has listed it, and it is not
// draining. Without the list it can't determine the voters, and would report the
// outcome of each non-repeatable request as "unknown". Having been listed once is
// enough: a list that omits VMs by mistake must not empty the load balancer.
func (r *Router) Ready() bool {
	// The creation times of keys are wall times, so compare wall times.
	voting := !time.Now().Round(0).Before(r.cfg.Idempotency.VotesFrom(r.started).Round(0))
	return voting && r.wasListed.Load() && r.inForce.Load() != nil && !r.draining.Load()
}

// Draining reports whether a graceful shutdown has started.
func (r *Router) Draining() bool { return r.draining.Load() }

// Bundle returns the bundle in force, or nil if there is none yet.
func (r *Router) Bundle() *bundle.Bundle {
	if v := r.inForce.Load(); v != nil {
		return v.Bundle
	}
	return nil
}

// Team returns the team that a bearer key belongs to in the bundle in force.
func (r *Router) Team(key string) (bundle.Team, bool) {
	v := r.inForce.Load()
	if v == nil {
		return bundle.Team{}, false
	}
	return v.Index.Team(key)
}

// Name returns the name of the VM.
func (r *Router) Name() string { return r.cfg.Name }

// Metrics returns the metrics of the process.
func (r *Router) Metrics() *obs.Metrics { return r.metrics }
