package sched

import (
	"time"

	"github.com/aspenswitch/aspenswitch/lease"
)

// Receive applies a peer's message.
func (n *Node) Receive(now time.Time, s Sync) {
	l := n.linkTo(s.From)
	if n.stale(now, l, s) {
		return
	}
	n.recordSender(now, l, s)
	n.recordAck(l, s)
	for _, part := range s.Pools {
		if p, ok := n.pools[part.Pool]; ok {
			n.receivePool(now, p, l, s, part)
		}
	}
	n.renewLeases(now, l)
	n.refreshLive(now)
	l.converged = l.converged || (s.ToIncarnation == n.cfg.Incarnation && s.Ack >= l.changeSeq && s.LiveHash == n.liveHash && !l.requestFull)
	n.endGracePeriods(now)
	n.scheduleAll(now)
	n.recordGrants()
	n.retrySlotRequest(now)
	n.flush(now)
}

// recordGrants makes requests that still wait after slots were granted eligible
// to be advertised again.
func (n *Node) recordGrants() {
	for _, p := range n.pools {
		if p.grantsReceived {
			p.accounts.RecordGrants()
		}
		p.grantsReceived = false
	}
}

// stale reports whether a message is a duplicate, out of order, or from an
// incarnation that has ended.
func (n *Node) stale(now time.Time, l *link, s Sync) bool {
	if s.Incarnation == l.incarnation {
		return s.Seq <= l.lastReceived
	}
	if s.Incarnation > l.incarnation {
		return false
	}
	// A VM whose clock was set back restarts with a lower incarnation. Its old
	// process has ended once it has been silent for SuspectAfter.
	return now.Sub(l.receivedAt) < n.cfg.SuspectAfter
}

func (n *Node) recordSender(now time.Time, l *link, s Sync) {
	if n.view.RecordMessage(now, s.From, s.Incarnation, s.Draining) {
		l.reset(s.Incarnation)
		for _, p := range n.pools {
			p.accounts.Merge(now, s.From, s.Incarnation, nil)
		}
		n.assignHomes(now)
	}
	l.requestFull = l.requestFull || s.Seq != l.lastReceived+1
	l.lastReceived = s.Seq
	l.receivedAt = now
	l.sendFull = l.sendFull || s.Missed
	// A peer whose live routers changed waits for an acknowledgement.
	l.urgent = l.urgent || l.liveHash != s.LiveHash
	l.liveHash = s.LiveHash
	// A router that is itself joining has no snapshot to send; two joining routers
	// would answer each other endlessly.
	l.sendSnapshot = l.sendSnapshot || (s.Joining && n.joined)
}

// recordAck extends the leases granted by the peer: it received a message of
// this incarnation, whose send time is recorded.
func (n *Node) recordAck(l *link, s Sync) {
	if s.ToIncarnation != n.cfg.Incarnation || s.Ack == 0 {
		return
	}
	if sentAt, ok := l.acknowledge(s.Ack); ok {
		l.leaseUntil = sentAt.Add(n.cfg.LeaseTTL)
	}
}

// renewLeases extends the leases between this router and the peer: those granted
// by the peer from the send time of the acknowledged message, those granted to
// the peer from now.
func (n *Node) renewLeases(now time.Time, l *link) {
	for _, p := range n.pools {
		for _, u := range p.upstreams {
			if u.table != nil {
				u.table.Renew(l.name, l.incarnation, now.Add(n.cfg.LeaseTTL))
			}
			if u.holder.Home() == l.name && u.holder.HomeIncarnation() == l.incarnation {
				u.holder.Extend(l.leaseUntil)
			}
		}
	}
}

func (n *Node) receivePool(now time.Time, p *pool, l *link, s Sync, part PoolSync) {
	if part.Snapshot != nil && !n.joined {
		p.accounts.Restore(now, n.cfg.Router, *part.Snapshot)
		n.joined = !s.Joining
	}
	if len(part.Entries) > 0 {
		p.accounts.Merge(now, s.From, s.Incarnation, part.Entries)
	}
	if s.ToIncarnation != n.cfg.Incarnation {
		return
	}
	for _, g := range part.Grants {
		n.receiveGrant(p, l, g)
	}
	for _, r := range part.Reports {
		n.receiveReport(now, p, l, r)
	}
}

func (n *Node) receiveGrant(p *pool, l *link, g lease.Grant) {
	u := n.upstreamOf(p, g.Upstream)
	if u == nil || u.holder.Home() != l.name || u.holder.HomeIncarnation() != l.incarnation {
		return
	}
	p.grantsReceived = u.holder.ApplyGrant(g) || p.grantsReceived
}

func (n *Node) receiveReport(now time.Time, p *pool, l *link, r lease.Report) {
	u := n.upstreamOf(p, r.Upstream)
	if u == nil || u.table == nil {
		return
	}
	if _, answered := u.table.ApplyReport(l.name, l.incarnation, r, now.Add(n.cfg.LeaseTTL)); answered {
		l.grants[u.ID] = true
	}
}
