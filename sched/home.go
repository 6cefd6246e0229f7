package sched

import (
	"time"

	"github.com/aspenswitch/aspenswitch/fairness"
	"github.com/aspenswitch/aspenswitch/lease"
	"github.com/aspenswitch/aspenswitch/limits"
)

// allocate grants the free slots of the upstreams whose home is this router, to
// the routers where the least served teams wait. Slots that no request waits for
// stay free until distributeFree grants them.
func (n *Node) allocate(now time.Time, p *pool) {
	for _, u := range p.upstreams {
		if u.table == nil || u.Draining {
			continue
		}
		for u.table.Free(now) > 0 && n.grantNext(now, p, u) {
		}
	}
}

// grantNext grants one slot for the least served waiting team. It returns false
// if no team waits for one.
func (n *Node) grantNext(now time.Time, p *pool, u *upstream) bool {
	local, hasLocal := p.accounts.NextLocal(now)
	remote, hasRemote := p.accounts.NextRemote(now)
	if hasLocal && n.queueExceedsIdle(now, p) && (!hasRemote || local.Key <= remote.Key) {
		n.grantLocal(now, u, 1)
		return true
	}
	if !hasRemote {
		return false
	}
	p.accounts.AssumeGranted(remote.Router, remote.Team, 1)
	n.grant(now, u, remote.Router, 1)
	return true
}

// queueExceedsIdle reports whether more requests wait here than slots are idle.
func (n *Node) queueExceedsIdle(now time.Time, p *pool) bool {
	idle := 0
	for _, u := range p.upstreams {
		idle += u.idle(now)
	}
	return p.queue.Len() > idle
}

func (n *Node) grantLocal(now time.Time, u *upstream, slots int) {
	g := u.table.Grant(n.cfg.Router, n.cfg.Incarnation, slots, n.ownLeaseExpiry())
	u.holder.ApplyGrant(g)
	u.holder.Extend(n.ownLeaseExpiry())
}

// ownLeaseExpiry is the end of the lease of slots that this router grants
// itself. It is measured from the last tick, so that a process that was paused
// finds the lease expired.
func (n *Node) ownLeaseExpiry() time.Time { return n.lastTickAt.Add(n.cfg.LeaseTTL) }

func (n *Node) grant(now time.Time, u *upstream, router string, slots int) {
	l := n.linkTo(router)
	u.table.Grant(router, n.view.Incarnation(router), slots, l.receivedAt.Add(n.cfg.LeaseTTL))
	l.grants[u.ID] = true
}

// reportLocal applies this router's own returns and claims to its own table.
func (n *Node) reportLocal(u *upstream) {
	r, ok := u.holder.Report()
	if !ok {
		return
	}
	if g, answered := u.table.ApplyReport(n.cfg.Router, n.cfg.Incarnation, r, n.ownLeaseExpiry()); answered {
		u.holder.ApplyGrant(g)
		u.holder.Extend(n.ownLeaseExpiry())
	}
}

// distributeFree grants free slots that no request waits for to the live
// routers, so that in the absence of contention a request finds an idle slot
// without a round trip.
func (n *Node) distributeFree(now time.Time, p *pool) {
	for _, u := range p.upstreams {
		if u.table == nil || u.Draining {
			continue
		}
		for u.table.Free(now) > 0 {
			router := n.freeSlotTarget(p, u.table)
			if router == n.cfg.Router {
				n.grantLocal(now, u, 1)
			} else {
				n.grant(now, u, router, 1)
			}
		}
	}
}

// freeSlotTarget returns the live router with the most outstanding requests in
// the pool per slot of the upstream that it holds, so that idle slots are where
// requests arrive.
func (n *Node) freeSlotTarget(p *pool, t *lease.Table) string {
	router, highest := n.cfg.Router, loadPerSlot(p, t, n.cfg.Router, "")
	for _, name := range n.live {
		if name == n.cfg.Router {
			continue
		}
		if load := loadPerSlot(p, t, name, name); load > highest {
			router, highest = name, load
		}
	}
	return router
}

// loadPerSlot is the number of outstanding requests per slot. It adds one to
// both counts, so that a router without requests gets slots too.
func loadPerSlot(p *pool, t *lease.Table, router, account string) float64 {
	return float64(p.accounts.Outstanding(account)+1) / float64(t.Held(router)+1)
}

// loadReportTTL is how long an upstream's load report is used.
const loadReportTTL = 2 * time.Second

// ObserveLoad applies an upstream's load report. Only the upstream's home
// requests it.
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
	n.schedule(now, p)
	n.flush(now)
}

// setLimit updates the table's limit from the learned limit and from the part of
// the fleet that is visible.
func (n *Node) setLimit(now time.Time, u *upstream) {
	if u.table == nil {
		return
	}
	visible, listed := n.view.CountListed(now)
	u.table.SetLimit(u.limit.PartitionShare(visible, listed, u.externalLoad(now)))
	for _, router := range u.table.Recall() {
		n.sendRecall(u, router)
	}
}

// externalLoad returns the number of requests on the upstream that were not sent
// from this side of a partition. Without a recent report it returns the limit,
// since all slots may be in use.
func (u *upstream) externalLoad(now time.Time) int {
	if now.Sub(u.loadAt) > loadReportTTL {
		return u.limit.Limit()
	}
	return max(u.load.Running+u.load.Queued-u.table.Granted(), 0)
}

func (n *Node) sendRecall(u *upstream, router string) {
	if router != n.cfg.Router {
		n.linkTo(router).grants[u.ID] = true
		return
	}
	if g, ok := u.table.CurrentGrant(router, n.cfg.Incarnation); ok {
		u.holder.ApplyGrant(g)
	}
}

// HomedUpstreams returns the upstreams whose home is this router.
func (n *Node) HomedUpstreams() []Upstream {
	var homed []Upstream
	for _, p := range n.pools {
		for _, u := range p.upstreams {
			if u.table != nil {
				homed = append(homed, u.Upstream)
			}
		}
	}
	return homed
}

// Waiting returns the number of a team's requests that wait here.
func (n *Node) Waiting(poolID int, team fairness.TeamID) int {
	if p, ok := n.pools[poolID]; ok {
		return p.queue.Waiting(team)
	}
	return 0
}
