package soak

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/aspenswitch/aspenswitch/standin"
	"github.com/aspenswitch/aspenswitch/warmup"
)

// Result is the outcome of a run.
type Result struct {
	Plan       []Fault
	History    *History
	Violations []Violation
	// Served is the number of requests with a complete success response, Asked the number
	// of all requests.
	Served, Asked int
	// Recovery is the time from the end of the last fault until the fleet had recovered.
	Recovery time.Duration
}

// deployment holds everything that a run has started.
type deployment struct {
	cfg       Config
	rec       *Recorder
	store     *standin.Store
	op        *operator
	routers   []*router
	endpoints []*endpoint
	servers   []*http.Server
	lb        *balancer
}

// Execute executes the plan of the configured seed and checks the resulting history.
func Execute(cfg Config) (*Result, error) {
	if err := cfg.check(); err != nil {
		return nil, err
	}
	return ExecutePlan(cfg, Plan(cfg))
}

// ExecutePlan executes the given plan and checks the resulting history.
func ExecutePlan(cfg Config, plan []Fault) (*Result, error) {
	if err := cfg.check(); err != nil {
		return nil, err
	}
	d := &deployment{cfg: cfg, rec: NewRecorder(), store: standin.NewStore()}
	defer d.close()
	if err := d.open(); err != nil {
		return nil, err
	}
	d.lb = newBalancer(d.routers)
	done := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() { d.lb.run(done) })
	if err := d.awaitReady(); err != nil {
		close(done)
		wg.Wait()
		return nil, err
	}
	for i := range cfg.Callers {
		c := &caller{number: i, rnd: rand.New(rand.NewPCG(cfg.Seed, uint64(i)+1)), lb: d.lb, op: d.op, rec: d.rec, continues: cfg.VersionFaults}
		wg.Go(func() { c.run(done) })
	}
	err := d.executePlan(plan)
	settled := d.rec.Now()
	time.Sleep(cfg.Settle)
	stopped := d.rec.Now()
	close(done)
	wg.Wait()
	if err != nil {
		return nil, err
	}
	h := d.rec.History()
	r := &Result{Plan: plan, History: h, Violations: Check(h, cfg.Bounds, settled, stopped), Asked: len(h.Requests), Recovery: RecoveryTime(h, settled, stopped)}
	for _, req := range h.Requests {
		if req.served() {
			r.Served++
		}
	}
	return r, nil
}

// open starts the stand-ins and the routers.
func (d *deployment) open() error {
	var limit warmup.Limit
	if d.cfg.WarmUpFaults {
		limit = warmUpLimit
	}
	d.op = newOperator(d.store, d.rec, limit)
	if _, err := d.op.publish(); err != nil {
		return err
	}
	for i := range 2 * d.cfg.Upstreams {
		e, err := newEndpoint(i, services[i/d.cfg.Upstreams], d.op, d.rec)
		if err != nil {
			return err
		}
		d.endpoints = append(d.endpoints, e)
	}
	for i := range d.cfg.Routers {
		address, err := d.serveStore(i)
		if err != nil {
			return err
		}
		r, err := newRouter(i, d.cfg, d.rec, address)
		if err != nil {
			return err
		}
		if err := r.start(); err != nil {
			return err
		}
		d.routers = append(d.routers, r)
	}
	return nil
}

// storeName returns the name that identifies a router in the store's per-caller faults.
func storeName(router int) string { return fmt.Sprint("r", router) }

// serveStore starts a listener of the store for one router and returns its address.
func (d *deployment) serveStore(router int) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", Error.Wrap(err)
	}
	s := &http.Server{Handler: d.store.HandlerFor(storeName(router)), ReadHeaderTimeout: time.Minute}
	d.servers = append(d.servers, s)
	go func() { _ = s.Serve(l) }() // returns when close closes the server
	return l.Addr().String(), nil
}

// startupTimeout is the time limit for all routers to become ready at the start of a run.
const startupTimeout = 15 * time.Second

func (d *deployment) awaitReady() error {
	client := &http.Client{Timeout: time.Second}
	deadline := time.Now().Add(startupTimeout)
	for _, r := range d.routers {
		for !r.isReady(client) {
			if time.Now().After(deadline) {
				return Error.New("router %d is not ready after %v", r.number, startupTimeout)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

func (d *deployment) close() {
	for _, r := range d.routers {
		r.close()
	}
	for _, e := range d.endpoints {
		e.link.Close()
		e.mu.Lock()
		e.runner.Crash()
		e.mu.Unlock()
	}
	for _, s := range d.servers {
		_ = s.Close() // the routers have exited; there are no clients left
	}
}
