package sched

import (
	"maps"
	"slices"
	"time"

	"github.com/aspenswitch/aspenswitch/fairness"
	"github.com/aspenswitch/aspenswitch/lease"
)

// ask tells the peers at once that a team has begun to wait, if one of them has
// reason to act: it may have an idle slot, or the team is behind the others by so
// much that a holder would give up a slot for it. Else a slot that falls idle
// here is as good, and the next report soon enough.
func (n *Node) ask(now time.Time, p *pool, team fairness.TeamID) {
	if !p.accounts.Unasked(team) {
		return
	}
	if n.askTooSoon(now, p) || (p.accounts.AllPeersWait() && p.running() > 0 && !n.stalled(now, p)) {
		return
	}
	n.askedAt = now
	n.report(now, true)
}

// askTooSoon spaces asks for a request or two where slots of this router's own
// fall idle now and then anyway. A fleet that is just full would otherwise ask
// all peers for each request. A burst is asked for at once.
func (n *Node) askTooSoon(now time.Time, p *pool) bool {
	return p.running() > 0 && p.queue.Len() <= fewWaiting && now.Sub(n.askedAt) < n.cfg.AskEvery
}

// fewWaiting is how many waiting requests are no burst.
const fewWaiting = 2

// askAgain asks for every team that began to wait unseen, once a peer may have
// an idle slot after all.
func (n *Node) askAgain(now time.Time) {
	for _, id := range slices.Sorted(maps.Keys(n.pools)) {
		p := n.pools[id]
		if p.accounts.AnyUnasked() && !p.accounts.AllPeersWait() && !n.askTooSoon(now, p) {
			n.askedAt = now
			n.report(now, true)
			return
		}
	}
}

// tellIdle corrects the peers at once when they think that teams wait here while
// slots stand idle: they would not ask for one, and work would wait beside it.
func (n *Node) tellIdle(now time.Time, p *pool) {
	if p.anyIdle(now) != nil && p.accounts.BelievedWaiting() {
		n.report(now, true)
	}
}

// report queues the accounts that have left the line the peers extrapolate.
func (n *Node) report(now time.Time, force bool) {
	n.reportedAt = now
	for _, id := range slices.Sorted(maps.Keys(n.pools)) {
		p := n.pools[id]
		due := p.accounts.Due(now, force)
		if len(due) == 0 {
			continue
		}
		for _, l := range n.links {
			l.entries(id, due)
		}
	}
}

// Tick does what time alone brings about. Call it every 50 to 100 ms.
func (n *Node) Tick(now time.Time) {
	if now.Sub(n.tickedAt) >= n.cfg.LeaseTTL {
		n.woke(now)
	}
	n.tickedAt = now
	for _, name := range n.view.Peers(now) {
		n.linkTo(name)
	}
	n.refresh(now)
	// Where every router starts at once nobody has a snapshot to give.
	n.joined = n.joined || now.Sub(n.startedAt) > 2*n.cfg.Heartbeat
	for _, id := range slices.Sorted(maps.Keys(n.pools)) {
		n.tickPool(now, n.pools[id])
	}
	n.dropLate(now)
	n.askAgain(now)
	n.reportDue(now)
	n.flush(now)
	n.redialSilent(now)
}

// reportDue reports at most every ReportEvery: what diverged, and at once what a
// peer would act on. What only ceased to wait goes with the next heartbeat.
func (n *Node) reportDue(now time.Time) {
	since := now.Sub(n.reportedAt)
	if since < n.cfg.ReportEvery {
		return
	}
	n.report(now, since >= n.cfg.Heartbeat || n.anyStalled(now))
}

func (n *Node) anyStalled(now time.Time) bool {
	for _, p := range n.pools {
		if n.stalled(now, p) {
			return true
		}
	}
	return false
}

// stalled reports whether a team waits here that a holder elsewhere would give
// up a slot for, if it knew.
func (n *Node) stalled(now time.Time, p *pool) bool {
	return p.accounts.Stalled(now, n.cfg.Hysteresis*p.accounts.MeanCost())
}

// redialSilent asks for a new connection to each peer that has not acknowledged
// a message for more than a heartbeat. A connection that has gone silent looks
// like a dead peer; a new one tells them apart before the peer is suspected.
func (n *Node) redialSilent(now time.Time) {
	patience := n.cfg.Heartbeat + n.cfg.Heartbeat/2
	for _, name := range slices.Sorted(maps.Keys(n.links)) {
		l := n.links[name]
		oldest, waits := l.oldestUnacked()
		if !waits || now.Sub(oldest) < patience || now.Sub(l.redialedAt) < patience {
			continue
		}
		l.redialedAt = now
		l.urgent = true
		n.do(Redial{To: name})
	}
}

// woke begins again after a pause of a lease time or more. The peers have
// re-homed this router's upstreams and may have granted every slot, so its own
// books are void like its leases; without this a paused home would send on
// slots that it granted itself before the pause.
func (n *Node) woke(now time.Time) {
	n.tickedAt = now
	for _, p := range n.pools {
		for _, u := range p.upstreams {
			u.holding.Expire(now)
			n.dropBook(u)
		}
	}
	n.unsettleAll()
	n.rehome(now)
}

func (n *Node) tickPool(now time.Time, p *pool) {
	p.accounts.ClampLag(now)
	for _, u := range p.upstreams {
		if u.book != nil {
			u.book.Renew(n.cfg.Router, n.cfg.Incarnation, n.ownLease())
			u.holding.Extend(n.ownLease())
			u.book.Expire(now)
			n.setLimit(now, u)
			if u.holding.Claiming() {
				n.reportSelf(u)
			}
			continue
		}
		if u.holding.Expire(now) || u.holding.Claiming() {
			n.claim(u)
		}
	}
	n.wake(now, p)
	n.park(now, p)
	n.wake(now, p)
}

func (n *Node) claim(u *upstream) {
	if home := u.holding.Home(); home != "" && n.view.Incarnation(home) != 0 {
		n.linkTo(home).reports[u.ID] = true
	}
}

// dropLate refuses waiting requests whose deadline has passed.
func (n *Node) dropLate(now time.Time) {
	for _, id := range slices.Sorted(maps.Keys(n.requests)) {
		r := n.requests[id]
		if r.Deadline.IsZero() || now.Before(r.Deadline) {
			continue
		}
		p := n.pools[r.Pool]
		delete(n.requests, id)
		p.queue.Remove(r.Team, id)
		p.accounts.SetWaiting(now, r.Team, p.queue.Waiting(r.Team))
		n.do(Refuse{Request: id, Reason: TooLate, RetryAfter: n.retryAfter(p, r.Team)})
	}
}

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
		From: n.cfg.Router, Incarnation: n.cfg.Incarnation, To: l.incarnation,
		Seq: l.seq, Live: n.liveHash, Missed: l.missed, Joining: !n.joined, Leaving: n.leaving,
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
		part.Entries = p.accounts.Full(now)
	}
	if l.snapshot {
		s := p.accounts.Snapshot(now)
		part.Snapshot = &s
	}
	for _, u := range p.upstreams {
		if u.book != nil && (l.grants[u.ID] || l.full) {
			if g, ok := u.book.Current(l.name, l.incarnation); ok {
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
	l.settled = l.settled || (s.To == n.cfg.Incarnation && s.Ack >= l.changeSeq && s.Live == n.liveHash && !l.missed)
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
			p.accounts.Granted()
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
	if n.view.Heard(now, s.From, s.Incarnation, s.Leaving) {
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
	l.urgent = l.urgent || l.live != s.Live
	l.live = s.Live
	l.snapshot = l.snapshot || (s.Joining && n.joined)
}

// noteAck extends the leases from the peer: it heard a message of this
// incarnation, sent at a known time.
func (n *Node) noteAck(l *link, s Sync) {
	if s.To != n.cfg.Incarnation || s.Ack == 0 {
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
	if s.To != n.cfg.Incarnation {
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
	p.granted = u.holding.Apply(g) || p.granted
}

func (n *Node) receiveReport(now time.Time, p *pool, l *link, r lease.Report) {
	u := n.upstreamOf(p, r.Upstream)
	if u == nil || u.book == nil {
		return
	}
	if _, answered := u.book.Report(l.name, l.incarnation, r, now.Add(n.cfg.LeaseTTL)); answered {
		l.grants[u.ID] = true
	}
}
