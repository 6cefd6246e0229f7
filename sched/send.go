package sched

import (
	"maps"
	"slices"
	"time"
)

// flush sends what peers must learn now, and heartbeats that are due.
func (n *Node) flush(now time.Time) {
	for _, name := range slices.Sorted(maps.Keys(n.links)) {
		l := n.links[name]
		if l.pending() || len(l.due) > 0 || now.Sub(l.sentAt) >= n.cfg.Heartbeat {
			n.send(now, l)
		}
	}
}

func (n *Node) send(now time.Time, l *link) {
	l.seq++
	l.times[l.seq] = now
	l.sentAt = now
	s := Sync{
		From: n.cfg.Router, Incarnation: n.cfg.Incarnation, ToIncarnation: l.incarnation,
		Seq: l.seq, LiveHash: n.liveHash, Missed: l.missed, Joining: !n.joined, Leaving: n.leaving,
	}
	if l.urgent || now.Sub(l.ackSentAt) >= n.cfg.Heartbeat {
		// Leases live for several heartbeats, so more would only cost bytes.
		s.Ack = l.heard
		l.ackSentAt = now
	}
	for _, id := range slices.Sorted(maps.Keys(n.pools)) {
		if part := n.poolSync(now, n.pools[id], l); !part.empty() {
			s.Pools = append(s.Pools, part)
		}
	}
	l.sent()
	n.do(Send{To: l.name, Sync: s})
}

func (n *Node) poolSync(now time.Time, p *pool, l *link) PoolSync {
	part := PoolSync{Pool: p.id, Entries: l.due[p.id]}
	if l.full {
		part.Entries = p.accounts.AllEntries(now)
	}
	if l.snapshot {
		s := p.accounts.Snapshot(now)
		part.Snapshot = &s
	}
	for _, u := range p.upstreams {
		if u.book != nil && (l.grants[u.ID] || l.full) {
			if g, ok := u.book.CurrentGrant(l.name, l.incarnation); ok {
				part.Grants = append(part.Grants, g)
			}
		}
		if u.holding.Home() == l.name && (l.reports[u.ID] || l.full) {
			if r, ok := u.holding.Report(); ok {
				part.Reports = append(part.Reports, r)
			}
		}
	}
	return part
}
