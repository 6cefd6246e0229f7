package router

import (
	"context"
	"time"

	"github.com/aspenswitch/aspenswitch/bundle"
	"github.com/aspenswitch/aspenswitch/sched"
)

// waiter is where a request waits for its slot. The channel holds one grant, so
// that the control goroutine never waits for a handler.
type waiter struct{ grant chan grant }

// grant is the core's word on a request.
type grant struct {
	upstream int
	until    time.Time
	refusal  *Refusal
}

// Refusal is a request that was not run.
type Refusal struct {
	Reason     sched.Reason
	RetryAfter time.Duration
}

// Error implements error.
func (r *Refusal) Error() string { return "not run: " + string(r.Reason) }

// Slot is a slot of an upstream, given to one request. Exactly one of Finish
// and Fail must be called.
type Slot struct {
	r        *Router
	id       sched.RequestID
	until    time.Time
	Upstream bundle.Upstream
}

// Valid reports whether the slot's lease still runs. Check it right before
// sending: the process may have been paused since the slot was given, and
// another router may have it now.
func (t *Slot) Valid() bool { return time.Now().Before(t.until) }

// Release gives the slot back after the request ended.
func (t *Slot) Release() { t.r.post(finish{id: t.id}) }

// Fail gives the slot back after the upstream did not serve the request; the
// upstream gets no work from this router for a while.
func (t *Slot) Fail(avoid time.Duration) { t.r.post(fail{id: t.id, avoid: avoid}) }

// Acquire waits for a slot. The error is a *Refusal, or the context's.
func (r *Router) Acquire(ctx context.Context, req sched.Request) (*Slot, error) {
	req.ID = sched.RequestID(r.lastID.Add(1))
	w := &waiter{grant: make(chan grant, 1)}
	r.post(arrive{request: req, waiter: w})
	select {
	case g := <-w.grant:
		return r.ticket(req, g)
	case <-ctx.Done():
		r.post(cancel{id: req.ID})
		return nil, context.Cause(ctx)
	case <-r.stopped:
		return nil, &Refusal{Reason: sched.ShuttingDown, RetryAfter: time.Second}
	}
}

func (r *Router) ticket(req sched.Request, g grant) (*Slot, error) {
	if g.refusal != nil {
		return nil, g.refusal
	}
	u, ok := r.view.Load().upstreams[g.upstream]
	if !ok {
		r.post(finish{id: req.ID})
		return nil, &Refusal{Reason: sched.NoPool, RetryAfter: time.Second}
	}
	return &Slot{r: r, id: req.ID, until: g.until, Upstream: u}, nil
}
