package sched

import (
	"maps"
	"slices"
	"time"

	"github.com/aspenswitch/aspenswitch/fairness"
)

// minRetryAfter and maxRetryAfter bound the retry delay returned to a refused
// caller.
const (
	minRetryAfter = time.Second
	maxRetryAfter = time.Minute
)

// Submit adds a caller's request, which is dispatched, queued or refused.
func (n *Node) Submit(now time.Time, r Request) {
	p, ok := n.pools[r.Pool]
	if !ok {
		n.emit(Refuse{Request: r.ID, Reason: NoPool, RetryAfter: minRetryAfter})
		return
	}
	if reason, refused := n.refusal(now, p, &r); refused {
		n.emit(Refuse{Request: r.ID, Reason: reason, RetryAfter: n.retryAfter(p, r.Team)})
		return
	}
	p.accounts.Activate(now, r.Team)
	n.requests[r.ID] = &r
	p.queue.Push(r.Team, r.ID)
	p.accounts.SetWaiting(now, r.Team, p.queue.Waiting(r.Team))
	n.schedule(now, p)
	n.requestSlots(now, p, r.Team)
	n.flush(now)
}

// refusal returns true, with the reason, if the request must be refused at once.
func (n *Node) refusal(now time.Time, p *pool, r *Request) (Reason, bool) {
	switch {
	case n.draining:
		return ShuttingDown, true
	case p.queue.Waiting(r.Team) >= n.cfg.QueuePerTeam:
		return QueueFull, true
	case !r.Deadline.IsZero() && now.Add(n.queueDelay(p, r.Team)).After(r.Deadline):
		return DeadlinePassed, true
	}
	return "", false
}

// queueDelay is the expected time until the team's waiting requests here have
// started, from the measured rate and with an equal turn for each waiting team.
func (n *Node) queueDelay(p *pool, team fairness.TeamID) time.Duration {
	ahead := p.queue.Waiting(team) * p.queue.Teams()
	return time.Duration(float64(ahead) * p.finishInterval * float64(time.Second))
}

func (n *Node) retryAfter(p *pool, team fairness.TeamID) time.Duration {
	return min(max(n.queueDelay(p, team), minRetryAfter), maxRetryAfter)
}

// Cancel removes a waiting request whose caller disconnected. It returns false
// if the request no longer waits here.
func (n *Node) Cancel(now time.Time, id RequestID) bool {
	r, ok := n.requests[id]
	if !ok {
		return false
	}
	p := n.pools[r.Pool]
	delete(n.requests, id)
	p.queue.Remove(r.Team, id)
	p.accounts.SetWaiting(now, r.Team, p.queue.Waiting(r.Team))
	n.schedule(now, p)
	n.flush(now)
	return true
}

// Finish ends a running request and frees its slot.
func (n *Node) Finish(now time.Time, id RequestID) {
	r, p := n.stopRunning(now, id)
	if r == nil {
		return
	}
	p.accounts.ObserveCost(now.Sub(r.started))
	p.observeFinish(now)
	n.schedule(now, p)
	n.flush(now)
}

// Fail ends a running request that the upstream failed to serve. The upstream
// gets no requests for the duration avoid.
func (n *Node) Fail(now time.Time, id RequestID, avoid time.Duration) {
	r, p := n.stopRunning(now, id)
	if r == nil {
		return
	}
	if u := n.upstreamOf(p, r.upstream); u != nil {
		u.avoidUntil = now.Add(avoid)
	}
	n.schedule(now, p)
	n.flush(now)
}

func (n *Node) stopRunning(now time.Time, id RequestID) (*running, *pool) {
	r, ok := n.running[id]
	if !ok {
		return nil, nil
	}
	delete(n.running, id)
	p := n.pools[r.Pool]
	p.accounts.End(now, r.Team, r.started)
	if u := n.upstreamOf(p, r.upstream); u != nil {
		u.holder.Release()
	}
	return r, p
}

// Drain starts a graceful shutdown: waiting requests are refused, running
// requests continue to the end, idle slots are returned, and the peers are
// notified.
func (n *Node) Drain(now time.Time) {
	n.draining = true
	n.view.Leave()
	for _, id := range slices.Sorted(maps.Keys(n.requests)) {
		r := n.requests[id]
		p := n.pools[r.Pool]
		delete(n.requests, id)
		p.queue.Remove(r.Team, id)
		p.accounts.SetWaiting(now, r.Team, p.queue.Waiting(r.Team))
		n.emit(Refuse{Request: id, Reason: ShuttingDown, RetryAfter: minRetryAfter})
	}
	n.refreshLive(now)
	n.returnAllIdle(now)
	n.markAllUrgent()
	n.flush(now)
}

// returnAllIdle returns every idle slot to its home.
func (n *Node) returnAllIdle(now time.Time) {
	for _, p := range n.pools {
		for _, u := range p.upstreams {
			n.returnSlots(u, u.holder.Idle(now))
		}
	}
}

// Running returns the number of requests that hold a slot.
func (n *Node) Running() int { return len(n.running) }

// SetQueueLimit sets the maximum number of requests of one team that wait here.
func (n *Node) SetQueueLimit(limit int) { n.cfg.QueuePerTeam = limit }

// Live returns the live routers, this one included.
func (n *Node) Live(now time.Time) []string { return n.view.Live(now) }
