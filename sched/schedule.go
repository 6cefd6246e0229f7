package sched

import (
	"time"

	"github.com/aspenswitch/aspenswitch/fairness"
)

// schedule dispatches the requests that wait here to the pool's idle slots; if a
// team that waits elsewhere is behind by more than the hysteresis, it returns a
// slot for that team instead.
func (n *Node) schedule(now time.Time, p *pool) {
	n.assignIdle(now, p)
	n.correctWaiting(now, p)
}

func (n *Node) assignIdle(now time.Time, p *pool) {
	n.allocate(now, p)
	n.returnRecalled(now, p)
	for {
		u := p.mostIdle(now)
		if u == nil {
			return
		}
		local, hasLocal := p.accounts.NextLocal(now)
		remote, hasRemote := p.accounts.NextRemote(now)
		if hasRemote && n.exceedsHysteresis(p, local, hasLocal, remote) && n.yieldSlots(now, p, u, remote, hasLocal) {
			continue
		}
		if !hasLocal {
			return
		}
		n.dispatch(now, p, local)
	}
}

// exceedsHysteresis reports whether the local candidate is ahead of the remote
// one by more than the hysteresis, or there is no local one.
func (n *Node) exceedsHysteresis(p *pool, local fairness.Candidate, hasLocal bool, remote fairness.Candidate) bool {
	if !hasLocal {
		return true
	}
	return local.Key-remote.Key > n.cfg.Hysteresis*p.accounts.MeanCost()
}

// dispatch sends the team's oldest request to an upstream.
func (n *Node) dispatch(now time.Time, p *pool, c fairness.Candidate) {
	id, _ := p.queue.Pop(c.Team)
	p.accounts.SetWaiting(now, c.Team, p.queue.Waiting(c.Team))
	r := n.requests[id]
	delete(n.requests, id)
	u := p.pick(now, r)
	u.holder.Acquire()
	if r.PrefixHash != 0 {
		u.lastPrefix = r.PrefixHash
	}
	p.accounts.Start(now, c.Team)
	n.running[id] = &running{Request: *r, upstream: u.ID, started: now}
	n.emit(Dispatch{Request: id, Upstream: u.ID, LeaseExpiry: u.holder.LeaseExpiry()})
}

// yieldSlots returns an idle slot for the remote candidate, or half of the
// upstream's idle slots if no request waits here, since a router that had to
// request slots is short of them. It returns false if the slots can't be
// returned because their home has not yet accepted the claim.
func (n *Node) yieldSlots(now time.Time, p *pool, u *upstream, remote fairness.Candidate, hasLocal bool) bool {
	slots := 1
	if !hasLocal {
		slots = (u.idle(now) + 1) / 2
	}
	if !n.returnSlots(u, slots) {
		return false
	}
	if u.table == nil {
		p.accounts.AssumeGranted(remote.Router, remote.Team, 1)
		return true
	}
	n.allocate(now, p)
	return true
}

// returnSlots returns idle slots to the upstream's home.
func (n *Node) returnSlots(u *upstream, slots int) bool {
	if slots == 0 || !u.holder.Return(slots) {
		return false
	}
	if u.table != nil {
		n.reportLocal(u)
		return true
	}
	n.linkTo(u.holder.Home()).reports[u.ID] = true
	return true
}

// returnRecalled returns idle slots that the home recalled.
func (n *Node) returnRecalled(now time.Time, p *pool) {
	for _, u := range p.upstreams {
		recalled := min(u.holder.Recalled(), u.holder.Idle(now))
		n.returnSlots(u, recalled)
	}
}
