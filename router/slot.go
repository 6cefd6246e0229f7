package router

import (
	"context"
	"time"

	"github.com/aspenswitch/aspenswitch/bundle"
	"github.com/aspenswitch/aspenswitch/sched"
)

// waiter receives the decision on a waiting request. The channel has a buffer of
// one, so that the control goroutine never blocks on a handler.
type waiter struct{ decision chan decision }

// decision is the scheduler's decision on a request: a slot or a refusal.
type decision struct {
	upstream    int
	leaseExpiry time.Time
	refusal     *Refusal
}

// Refusal is the error for a request that was not run.
type Refusal struct {
	Reason     sched.Reason
	RetryAfter time.Duration
}

// Error implements error.
func (r *Refusal) Error() string { return "not run: " + string(r.Reason) }

// Slot is a slot of an upstream that is granted to one request. Exactly one of
// Release and Fail must be called.
type Slot struct {
	r           *Router
	id          sched.RequestID
	leaseExpiry time.Time
	Upstream    bundle.Upstream
}

// Valid reports whether the slot's lease has not expired. Check it immediately
// before sending: the process may have been paused since the slot was granted, and
// another router may have it now.
func (s *Slot) Valid() bool { return time.Now().Before(s.leaseExpiry) }

// Release releases the slot after the request ended.
func (s *Slot) Release() { s.r.post(finishRequest{id: s.id}) }

// Fail releases the slot after the upstream failed to serve the request. This
// router sends no requests to the upstream for the given duration.
func (s *Slot) Fail(avoid time.Duration) { s.r.post(failRequest{id: s.id, avoid: avoid}) }

// Acquire waits for a slot. The error is a *Refusal, or context.Cause(ctx) if the
// context ends first.
func (r *Router) Acquire(ctx context.Context, req sched.Request) (*Slot, error) {
	req.ID = sched.RequestID(r.lastID.Add(1))
	w := &waiter{decision: make(chan decision, 1)}
	r.post(acquireSlot{request: req, waiter: w})
	select {
	case d := <-w.decision:
		return r.newSlot(req, d)
	case <-ctx.Done():
		r.post(cancelRequest{id: req.ID})
		return nil, context.Cause(ctx)
	case <-r.stopped:
		return nil, &Refusal{Reason: sched.ShuttingDown, RetryAfter: time.Second}
	}
}

func (r *Router) newSlot(req sched.Request, d decision) (*Slot, error) {
	if d.refusal != nil {
		return nil, d.refusal
	}
	u, ok := r.inForce.Load().upstreams[d.upstream]
	if !ok {
		r.post(finishRequest{id: req.ID})
		return nil, &Refusal{Reason: sched.NoPool, RetryAfter: time.Second}
	}
	return &Slot{r: r, id: req.ID, leaseExpiry: d.leaseExpiry, Upstream: u}, nil
}
