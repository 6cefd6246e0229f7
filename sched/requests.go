package sched

import (
	"maps"
	"slices"
	"time"

	"github.com/aspenswitch/aspenswitch/fairness"
)

// minRetryAfter and maxRetryAfter bound what a refused caller is told.
const (
	minRetryAfter = time.Second
	maxRetryAfter = time.Minute
)

// Submit takes in a caller's request. It is dispatched, queued or refused.
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

// refusal tells whether the request must be refused at once.
func (n *Node) refusal(now time.Time, p *pool, r *Request) (Reason, bool) {
	switch {
	case n.leaving:
		return ShuttingDown, true
	case p.queue.Waiting(r.Team) >= n.cfg.QueuePerTeam:
		return QueueFull, true
	case !r.Deadline.IsZero() && now.Add(n.queueDelay(p, r.Team)).After(r.Deadline):
		return DeadlinePassed, true
	}
	return "", false
}

// queueDelay is how long the requests of the team that wait here are expected to
// take to begin, at the measured rate and an equal turn for each waiting team.
func (n *Node) queueDelay(p *pool, team fairness.TeamID) time.Duration {
	ahead := p.queue.Waiting(team) * p.queue.Teams()
	return time.Duration(float64(ahead) * p.finishInterval * float64(time.Second))
}

func (n *Node) retryAfter(p *pool, team fairness.TeamID) time.Duration {
	return min(max(n.queueDelay(p, team), minRetryAfter), maxRetryAfter)
}

// Cancel forgets a waiting request whose caller left. It returns false if the
// request does not wait here any more.
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

// Fail ends a running request that the upstream did not serve. The upstream is
// avoided for a while.
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

// Leave begins a graceful shutdown: waiting requests are refused, running ones
// end, idle slots go back, and the peers are told.
func (n *Node) Leave(now time.Time) {
	n.leaving = true
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

// Running counts the requests that hold a slot.
func (n *Node) Running() int { return len(n.running) }

// SetQueueLimit changes how many requests of one team may wait here.
func (n *Node) SetQueueLimit(most int) { n.cfg.QueuePerTeam = most }

// Live returns the live routers, this one included.
func (n *Node) Live(now time.Time) []string { return n.view.Live(now) }
