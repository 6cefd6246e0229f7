package sched

import (
	"time"

	"github.com/aspenswitch/aspenswitch/lease"
)

// Receive takes in a peer's message.
func (n *Node) Receive(now time.Time, s Sync) {
	l := n.linkTo(s.From)
	if n.stale(now, l, s) {
		return
	}
	n.noteSender(now, l, s)
	n.noteAck(l, s)
	for _, part := range s.Pools {
		if p, ok := n.pools[part.Pool]; ok {
			n.receivePool(now, p, l, s, part)
		}
	}
	n.renew(now, l)
	n.refresh(now)
	l.settled = l.settled || (s.ToIncarnation == n.cfg.Incarnation && s.Ack >= l.changeSeq && s.LiveHash == n.liveHash && !l.missed)
	n.openBooks(now)
	n.wakeAll(now)
	n.noteGrants()
	n.askAgain(now)
	n.flush(now)
}

// noteGrants lets what still waits after new slots came be asked for anew.
func (n *Node) noteGrants() {
	for _, p := range n.pools {
		if p.granted {
			p.accounts.RecordGrants()
		}
		p.granted = false
	}
}

// stale reports whether a message comes twice, out of order, or from an
// incarnation that has ended.
func (n *Node) stale(now time.Time, l *link, s Sync) bool {
	if s.Incarnation == l.incarnation {
		return s.Seq <= l.heard
	}
	if s.Incarnation > l.incarnation {
		return false
	}
	// A VM whose clock was set back restarts with a lower incarnation. Its old
	// process is gone once it has been silent for as long as it takes to suspect it.
	return now.Sub(l.heardAt) < n.cfg.SuspectAfter
}

func (n *Node) noteSender(now time.Time, l *link, s Sync) {
	if n.view.RecordMessage(now, s.From, s.Incarnation, s.Leaving) {
		l.reset(s.Incarnation)
		for _, p := range n.pools {
			p.accounts.Merge(now, s.From, s.Incarnation, nil)
		}
		n.rehome(now)
	}
	l.missed = l.missed || s.Seq != l.heard+1
	l.heard = s.Seq
	l.heardAt = now
	l.full = l.full || s.Missed
	// Who joins itself has nothing to give; two that join would answer each other
	// without end.
	// A peer whose live routers changed waits for an acknowledgement.
	l.urgent = l.urgent || l.live != s.LiveHash
	l.live = s.LiveHash
	l.snapshot = l.snapshot || (s.Joining && n.joined)
}

// noteAck extends the leases from the peer: it heard a message of this
// incarnation, sent at a known time.
func (n *Node) noteAck(l *link, s Sync) {
	if s.ToIncarnation != n.cfg.Incarnation || s.Ack == 0 {
		return
	}
	if at, ok := l.acked(s.Ack); ok {
		l.leaseUntil = at.Add(n.cfg.LeaseTTL)
	}
}

// renew extends the leases between this router and the peer: its own from what
// the peer acknowledged, the peer's from now.
func (n *Node) renew(now time.Time, l *link) {
	for _, p := range n.pools {
		for _, u := range p.upstreams {
			if u.book != nil {
				u.book.Renew(l.name, l.incarnation, now.Add(n.cfg.LeaseTTL))
			}
			if u.holding.Home() == l.name && u.holding.HomeIncarnation() == l.incarnation {
				u.holding.Extend(l.leaseUntil)
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
	if u == nil || u.holding.Home() != l.name || u.holding.HomeIncarnation() != l.incarnation {
		return
	}
	p.granted = u.holding.ApplyGrant(g) || p.granted
}

func (n *Node) receiveReport(now time.Time, p *pool, l *link, r lease.Report) {
	u := n.upstreamOf(p, r.Upstream)
	if u == nil || u.book == nil {
		return
	}
	if _, answered := u.book.ApplyReport(l.name, l.incarnation, r, now.Add(n.cfg.LeaseTTL)); answered {
		l.grants[u.ID] = true
	}
}
