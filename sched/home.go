package sched

import (
	"time"

	"github.com/aspenswitch/aspenswitch/fairness"
	"github.com/aspenswitch/aspenswitch/lease"
	"github.com/aspenswitch/aspenswitch/limits"
)

// allocate grants the free slots of the upstreams homed here to the routers
// where the least served teams wait. Slots that nobody waits for stay free
// until park spreads them.
func (n *Node) allocate(now time.Time, p *pool) {
	for _, u := range p.upstreams {
		if u.book == nil || u.Draining {
			continue
		}
		for u.book.Free(now) > 0 && n.grantNext(now, p, u) {
		}
	}
}

// grantNext grants one slot to the least served waiting team; it returns false
// if no team waits for one.
func (n *Node) grantNext(now time.Time, p *pool, u *upstream) bool {
	local, waits := p.accounts.NextLocal(now)
	remote, elsewhere := p.accounts.NextRemote(now)
	if waits && n.wanted(now, p) && (!elsewhere || local.Key <= remote.Key) {
		n.grantSelf(now, u, 1)
		return true
	}
	if !elsewhere {
		return false
	}
	p.accounts.AssumeGranted(remote.Router, remote.Team, 1)
	n.grant(now, u, remote.Router, 1)
	return true
}

// wanted reports whether more requests wait here than slots are idle.
func (n *Node) wanted(now time.Time, p *pool) bool {
	idle := 0
	for _, u := range p.upstreams {
		idle += u.idle(now)
	}
	return p.queue.Len() > idle
}

func (n *Node) grantSelf(now time.Time, u *upstream, slots int) {
	g := u.book.Grant(n.cfg.Router, n.cfg.Incarnation, slots, n.ownLease())
	u.holding.ApplyGrant(g)
	u.holding.Extend(n.ownLease())
}

// ownLease is the end of slots that this router grants itself. It counts from
// the last tick, so that a process that was paused finds it ended.
func (n *Node) ownLease() time.Time { return n.tickedAt.Add(n.cfg.LeaseTTL) }

func (n *Node) grant(now time.Time, u *upstream, router string, slots int) {
	l := n.linkTo(router)
	u.book.Grant(router, n.view.Incarnation(router), slots, l.heardAt.Add(n.cfg.LeaseTTL))
	l.grants[u.ID] = true
}

// reportSelf passes this router's own returns and claims to its own book.
func (n *Node) reportSelf(u *upstream) {
	r, ok := u.holding.Report()
	if !ok {
		return
	}
	if g, answered := u.book.ApplyReport(n.cfg.Router, n.cfg.Incarnation, r, n.ownLease()); answered {
		u.holding.ApplyGrant(g)
		u.holding.Extend(n.ownLease())
	}
}

// park spreads free slots that nobody waits for over the live routers, so that
// a request that meets no contention finds an idle slot without a round trip.
func (n *Node) park(now time.Time, p *pool) {
	for _, u := range p.upstreams {
		if u.book == nil || u.Draining {
			continue
		}
		for u.book.Free(now) > 0 {
			router := n.parkAt(p, u.book)
			if router == n.cfg.Router {
				n.grantSelf(now, u, 1)
			} else {
				n.grant(now, u, router, 1)
			}
		}
	}
}

// parkAt is the live router that has the most work in the pool for each slot of
// the upstream that it holds, so that idle slots lie where requests come.
func (n *Node) parkAt(p *pool, b *lease.Table) string {
	router, most := n.cfg.Router, workPerSlot(p, b, n.cfg.Router, "")
	for _, name := range n.live {
		if name == n.cfg.Router {
			continue
		}
		if work := workPerSlot(p, b, name, name); work > most {
			router, most = name, work
		}
	}
	return router
}

// workPerSlot counts one more request and slot each, so that a router without
// work gets slots too.
func workPerSlot(p *pool, b *lease.Table, router, account string) float64 {
	return float64(p.accounts.Outstanding(account)+1) / float64(b.Held(router)+1)
}

// reportFresh is how long an upstream's load report is believed.
const reportFresh = 2 * time.Second

// ObserveLoad takes in an upstream's own report. Only the upstream's home asks for it.
func (n *Node) ObserveLoad(now time.Time, poolID, upstreamID int, l limits.Load) {
	p, ok := n.pools[poolID]
	if !ok {
		return
	}
	u := n.upstreamOf(p, upstreamID)
	if u == nil {
		return
	}
	u.load, u.loadAt = l, now
	u.limit.Observe(l)
	n.setLimit(now, u)
	n.wake(now, p)
	n.flush(now)
}

// setLimit brings the book's limit up to date with what is learned and with the
// part of the fleet that is visible.
func (n *Node) setLimit(now time.Time, u *upstream) {
	if u.book == nil {
		return
	}
	visible, listed := n.view.CountListed(now)
	u.book.SetLimit(u.limit.PartitionShare(visible, listed, u.foreign(now)))
	for _, router := range u.book.Recall() {
		n.tellRecall(u, router)
	}
}

// foreign is how many requests the upstream has that this side of the fleet did
// not send. Without a fresh report all of its slots may be taken.
func (u *upstream) foreign(now time.Time) int {
	if now.Sub(u.loadAt) > reportFresh {
		return u.limit.Limit()
	}
	return max(u.load.Running+u.load.Queued-u.book.Granted(), 0)
}

func (n *Node) tellRecall(u *upstream, router string) {
	if router != n.cfg.Router {
		n.linkTo(router).grants[u.ID] = true
		return
	}
	if g, ok := u.book.CurrentGrant(router, n.cfg.Incarnation); ok {
		u.holding.ApplyGrant(g)
	}
}

// HomedUpstreams returns the upstreams that this router is the home of.
func (n *Node) HomedUpstreams() []Upstream {
	var homes []Upstream
	for _, p := range n.pools {
		for _, u := range p.upstreams {
			if u.book != nil {
				homes = append(homes, u.Upstream)
			}
		}
	}
	return homes
}

// Waiting counts a team's waiting requests here.
func (n *Node) Waiting(poolID int, team fairness.TeamID) int {
	if p, ok := n.pools[poolID]; ok {
		return p.queue.Waiting(team)
	}
	return 0
}
