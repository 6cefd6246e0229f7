package sched

import (
	"maps"
	"slices"
	"time"
)

// Tick handles timeouts and periodic work. Call it every 50 to 100 ms.
func (n *Node) Tick(now time.Time) {
	if now.Sub(n.lastTickAt) >= n.cfg.LeaseTTL {
		n.resumeAfterPause(now)
	}
	n.lastTickAt = now
	for _, name := range n.view.Peers(now) {
		n.linkTo(name)
	}
	n.refreshLive(now)
	// If all routers start at the same time, none has a snapshot to send.
	n.joined = n.joined || now.Sub(n.startedAt) > 2*n.cfg.Heartbeat
	for _, id := range slices.Sorted(maps.Keys(n.pools)) {
		n.tickPool(now, n.pools[id])
	}
	n.refuseExpired(now)
	n.retrySlotRequest(now)
	n.reportIfDue(now)
	n.flush(now)
	n.redialSilent(now)
}

// redialSilent requests a new connection to each peer that has not acknowledged
// a message for one and a half heartbeats. A connection that has stopped working
// looks like a failed peer; a new one distinguishes the two before the peer is
// suspected.
func (n *Node) redialSilent(now time.Time) {
	timeout := n.cfg.Heartbeat + n.cfg.Heartbeat/2
	for _, name := range slices.Sorted(maps.Keys(n.links)) {
		l := n.links[name]
		oldest, unacked := l.oldestUnacked()
		if !unacked || now.Sub(oldest) < timeout || now.Sub(l.redialedAt) < timeout {
			continue
		}
		l.redialedAt = now
		l.urgent = true
		n.emit(Redial{To: name})
	}
}

// resumeAfterPause voids this router's own lease tables and leases after a pause
// of a lease time or more. The peers have reassigned its upstreams to other
// homes and may have granted every slot; without this, a home that was paused
// would send on slots that it granted itself before the pause.
func (n *Node) resumeAfterPause(now time.Time) {
	n.lastTickAt = now
	for _, p := range n.pools {
		for _, u := range p.upstreams {
			u.holder.Expire(now)
			n.dropTable(u)
		}
	}
	n.resetConvergenceAll()
	n.assignHomes(now)
}

func (n *Node) tickPool(now time.Time, p *pool) {
	p.accounts.ClampLag(now)
	for _, u := range p.upstreams {
		if u.table != nil {
			u.table.Renew(n.cfg.Router, n.cfg.Incarnation, n.ownLeaseExpiry())
			u.holder.Extend(n.ownLeaseExpiry())
			u.table.Expire(now)
			n.setLimit(now, u)
			if u.holder.ClaimPending() {
				n.reportLocal(u)
			}
			continue
		}
		if u.holder.Expire(now) || u.holder.ClaimPending() {
			n.queueClaim(u)
		}
	}
	n.schedule(now, p)
	n.distributeFree(now, p)
	n.schedule(now, p)
}

func (n *Node) queueClaim(u *upstream) {
	if home := u.holder.Home(); home != "" && n.view.Incarnation(home) != 0 {
		n.linkTo(home).reports[u.ID] = true
	}
}

// refuseExpired refuses waiting requests whose deadline has passed.
func (n *Node) refuseExpired(now time.Time) {
	for _, id := range slices.Sorted(maps.Keys(n.requests)) {
		r := n.requests[id]
		if r.Deadline.IsZero() || now.Before(r.Deadline) {
			continue
		}
		p := n.pools[r.Pool]
		delete(n.requests, id)
		p.queue.Remove(r.Team, id)
		p.accounts.SetWaiting(now, r.Team, p.queue.Waiting(r.Team))
		n.emit(Refuse{Request: id, Reason: DeadlinePassed, RetryAfter: n.retryAfter(p, r.Team)})
	}
}
