package sched

import (
	"maps"
	"slices"
	"time"
)

// flush sends pending messages to the peers, and heartbeats that are due.
func (n *Node) flush(now time.Time) {
	for _, name := range slices.Sorted(maps.Keys(n.links)) {
		l := n.links[name]
		if l.needsSend() || len(l.pendingEntries) > 0 || now.Sub(l.sentAt) >= n.cfg.Heartbeat {
			n.send(now, l)
		}
	}
}

func (n *Node) send(now time.Time, l *link) {
	l.lastSent++
	l.unackedSentAt[l.lastSent] = now
	l.sentAt = now
	s := Sync{
		From: n.cfg.Router, Incarnation: n.cfg.Incarnation, ToIncarnation: l.incarnation,
		Seq: l.lastSent, LiveHash: n.liveHash, Missed: l.requestFull, Joining: !n.joined, Draining: n.draining,
	}
	if l.urgent || now.Sub(l.ackSentAt) >= n.cfg.Heartbeat {
		// A lease lasts for several heartbeats, so more acknowledgements would only cost bytes.
		s.Ack = l.lastReceived
		l.ackSentAt = now
	}
	for _, id := range slices.Sorted(maps.Keys(n.pools)) {
		if part := n.poolSync(now, n.pools[id], l); !part.empty() {
			s.Pools = append(s.Pools, part)
		}
	}
	l.clearPending()
	n.emit(Send{To: l.name, Sync: s})
}

func (n *Node) poolSync(now time.Time, p *pool, l *link) PoolSync {
	part := PoolSync{Pool: p.id, Entries: l.pendingEntries[p.id]}
	if l.sendFull {
		part.Entries = p.accounts.AllEntries(now)
	}
	if l.sendSnapshot {
		s := p.accounts.Snapshot(now)
		part.Snapshot = &s
	}
	for _, u := range p.upstreams {
		if u.table != nil && (l.grants[u.ID] || l.sendFull) {
			if g, ok := u.table.CurrentGrant(l.name, l.incarnation); ok {
				part.Grants = append(part.Grants, g)
			}
		}
		if u.holder.Home() == l.name && (l.reports[u.ID] || l.sendFull) {
			if r, ok := u.holder.Report(); ok {
				part.Reports = append(part.Reports, r)
			}
		}
	}
	return part
}
