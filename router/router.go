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

// messageQueue is how many messages wait for the control goroutine.
const messageQueue = 1024

// Router is one router process's library.
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
	view     atomic.Pointer[view]
	vms      atomic.Pointer[vmList]
	watching atomic.Bool
	leaving  atomic.Bool
	// wasListed is set once the platform's list of VMs has named this one.
	wasListed atomic.Bool
	// started is when this process's memory of votes began.
	started time.Time
}

// Deps are what a Router is given to work with.
type Deps struct {
	Log     zerolog.Logger
	Metrics *obs.Metrics
	// PeerListener is where the router listens for its peers.
	PeerListener net.Listener
	Platform     *bundlefeed.Client
	// PeerTLS is used between routers where it is set.
	PeerTLS PeerTLS
}

// New returns a router. Start begins its work.
func New(cfg Config, d Deps) *Router {
	ctx, cancel := context.WithCancel(context.Background())
	r := &Router{
		cfg: cfg, log: d.Log, metrics: d.Metrics, platform: d.Platform,
		Upstreams: upstream.NewClient(cfg.Upstream),
		messages:  make(chan message, messageQueue),
		stopped:   make(chan struct{}),
		started:   time.Now(),
		ctx:       ctx, cancel: cancel,
	}
	meshConfig := peer.DefaultConfig(&peerHandler{r: r}, d.Log)
	meshConfig.ServerTLS, meshConfig.ClientTLS = d.PeerTLS.Server, d.PeerTLS.Client
	r.mesh = peer.NewMesh(meshConfig, d.PeerListener)
	return r
}

// Start begins control, peers, and watches.
func (r *Router) Start() {
	c := newControl(r, time.Now())
	r.wg.Go(func() { c.run(r.stopped) })
	r.wg.Go(r.mesh.Serve)
	r.wg.Go(r.pollVMs)
	r.wg.Go(r.watchBundle)
	r.wg.Go(r.pollLoads)
}

// Stop ends everything at once. Call Drain first for a graceful shutdown.
func (r *Router) Stop() {
	r.stopOnce.Do(func() {
		r.cancel()
		close(r.stopped)
		r.mesh.Close()
		r.wg.Wait()
		r.Upstreams.Close()
	})
}

// Drain begins a graceful shutdown: nothing new is taken, and it returns when
// nothing runs any more or ctx ends. It returns how many requests still ran.
func (r *Router) Drain(ctx context.Context) int {
	r.leaving.Store(true)
	r.post(leave{})
	ticker := time.NewTicker(r.cfg.TickInterval)
	defer ticker.Stop()
	for {
		running := 0
		r.inspect(func(c *control) { running = c.node.Running() })
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

// post hands a message to the control goroutine.
func (r *Router) post(m message) {
	select {
	case r.messages <- m:
	case <-r.stopped:
	}
}

// inspect reads control state and waits until it is read.
func (r *Router) inspect(read func(*control)) {
	done := make(chan struct{})
	r.post(inspect{read: read, done: done})
	select {
	case <-done:
	case <-r.stopped:
	}
}

// Ready reports whether the router may take callers: it has a bundle in force,
// its voter votes on keys that are made now, the platform has listed it, and it
// does not shut down. Without the list it could not tell who votes, and would
// answer each booking "unknown". Once listed is enough: a list that loses VMs by
// mistake must not empty the balancer.
func (r *Router) Ready() bool {
	// Mint times are wall times, and so is what they are compared with.
	voting := !time.Now().Round(0).Before(r.cfg.Idempotency.VotesFrom(r.started).Round(0))
	return voting && r.wasListed.Load() && r.view.Load() != nil && !r.leaving.Load()
}

// Draining reports whether the router shuts down.
func (r *Router) Draining() bool { return r.leaving.Load() }

// Bundle returns the bundle in force, nil before there is one.
func (r *Router) Bundle() *bundle.Bundle {
	if v := r.view.Load(); v != nil {
		return v.Bundle
	}
	return nil
}

// Team finds the team of a bearer key in the bundle in force.
func (r *Router) Team(key string) (bundle.Team, bool) {
	v := r.view.Load()
	if v == nil {
		return bundle.Team{}, false
	}
	return v.Index.Team(key)
}

// Name is the VM's name.
func (r *Router) Name() string { return r.cfg.Name }

// Metrics are the process's counters.
func (r *Router) Metrics() *obs.Metrics { return r.metrics }
