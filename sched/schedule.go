package sched

import (
	"time"

	"github.com/aspenswitch/aspenswitch/fairness"
)

// wake uses the pool's idle slots: for the waiting requests here, or, where a
// team that waits elsewhere is behind by more than the hysteresis, for that one.
func (n *Node) wake(now time.Time, p *pool) {
	n.useIdle(now, p)
	n.tellIdle(now, p)
}

func (n *Node) useIdle(now time.Time, p *pool) {
	n.allocate(now, p)
	n.returnRecalled(now, p)
	for {
		u := p.anyIdle(now)
		if u == nil {
			return
		}
		local, waits := p.accounts.NextLocal(now)
		remote, elsewhere := p.accounts.NextRemote(now)
		if elsewhere && n.ahead(p, local, waits, remote) && n.pass(now, p, u, remote, waits) {
			continue
		}
		if !waits {
			return
		}
		n.dispatch(now, p, local)
	}
}

// ahead reports whether the local candidate is ahead of the remote one by more
// than the hysteresis, or there is no local one.
func (n *Node) ahead(p *pool, local fairness.Candidate, waits bool, remote fairness.Candidate) bool {
	if !waits {
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
	u.holding.Acquire()
	if r.PrefixHash != 0 {
		u.prefix = r.PrefixHash
	}
	p.accounts.Start(now, c.Team)
	n.running[id] = &running{Request: *r, upstream: u.ID, started: now}
	n.do(Dispatch{Request: id, Upstream: u.ID, LeaseExpiry: u.holding.LeaseExpiry()})
}

// pass gives an idle slot up for the remote candidate, and half of the upstream's
// idle ones where no work waits here: a router that had to ask is short of them.
// It returns false if slots can't go back, since their home has not taken in the
// claim yet.
func (n *Node) pass(now time.Time, p *pool, u *upstream, remote fairness.Candidate, waits bool) bool {
	slots := 1
	if !waits {
		slots = (u.idle(now) + 1) / 2
	}
	if !n.giveUp(u, slots) {
		return false
	}
	if u.book == nil {
		p.accounts.AssumeGranted(remote.Router, remote.Team, 1)
		return true
	}
	n.allocate(now, p)
	return true
}

// giveUp returns idle slots to the upstream's home.
func (n *Node) giveUp(u *upstream, slots int) bool {
	if slots == 0 || !u.holding.Return(slots) {
		return false
	}
	if u.book != nil {
		n.reportSelf(u)
		return true
	}
	n.linkTo(u.holding.Home()).reports[u.ID] = true
	return true
}

// returnRecalled gives back idle slots that the home asked for.
func (n *Node) returnRecalled(now time.Time, p *pool) {
	for _, u := range p.upstreams {
		recalled := min(u.holding.Recalled(), u.holding.Idle(now))
		n.giveUp(u, recalled)
	}
}
