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

// Result is a run's outcome.
type Result struct {
	Plan       []Fault
	History    *History
	Violations []Violation
	// Served and Asked count the requests that were answered with success, and all.
	Served, Asked int
	// Recovery is how long after the last fault the fleet served as before.
	Recovery time.Duration
}

// deployment is all that a run has started.
type deployment struct {
	cfg     Config
	rec     *Recorder
	store   *standin.Store
	op      *operator
	routers []*router
	places  []*place
	servers []*http.Server
	lb      *balancer
}

// Execute plays the plan of a seed and checks what came of it.
func Execute(cfg Config) (*Result, error) {
	if err := cfg.check(); err != nil {
		return nil, err
	}
	return ExecutePlan(cfg, Plan(cfg))
}

// ExecutePlan plays a plan and checks what came of it.
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
	end := make(chan struct{})
	var work sync.WaitGroup
	work.Go(func() { d.lb.run(end) })
	if err := d.awaitReady(); err != nil {
		close(end)
		work.Wait()
		return nil, err
	}
	for i := range cfg.Callers {
		c := &caller{number: i, rnd: rand.New(rand.NewPCG(cfg.Seed, uint64(i)+1)), lb: d.lb, op: d.op, rec: d.rec}
		work.Go(func() { c.run(end) })
	}
	err := d.play(plan)
	settled := d.rec.Now()
	time.Sleep(cfg.Settle)
	stopped := d.rec.Now()
	close(end)
	work.Wait()
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
		p, err := newPlace(i, services[i/d.cfg.Upstreams], d.op, d.rec)
		if err != nil {
			return err
		}
		d.places = append(d.places, p)
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

// storeName is the name under which the store knows a router.
func storeName(router int) string { return fmt.Sprint("r", router) }

// serveStore opens the store as one router reaches it.
func (d *deployment) serveStore(router int) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", Error.Wrap(err)
	}
	s := &http.Server{Handler: d.store.HandlerFor(storeName(router)), ReadHeaderTimeout: time.Minute}
	d.servers = append(d.servers, s)
	go func() { _ = s.Serve(l) }() // it ends when the run closes it
	return l.Addr().String(), nil
}

// startWithin is how long a fleet may take to be ready for the first time.
const startWithin = 15 * time.Second

func (d *deployment) awaitReady() error {
	client := &http.Client{Timeout: time.Second}
	until := time.Now().Add(startWithin)
	for _, r := range d.routers {
		for !r.isReady(client) {
			if time.Now().After(until) {
				return Error.New("router %d is not ready after %v", r.number, startWithin)
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
	for _, p := range d.places {
		p.link.Close()
		p.mu.Lock()
		p.runner.Crash()
		p.mu.Unlock()
	}
	for _, s := range d.servers {
		_ = s.Close() // nobody calls any more
	}
}
