package sched

import (
	"maps"
	"slices"
	"time"

	"github.com/aspenswitch/aspenswitch/fairness"
)

// ask tells the peers at once that a team has begun to wait, if one of them has
// reason to act: it may have an idle slot, or the team is behind the others by so
// much that a holder would give up a slot for it. Else a slot that falls idle
// here is as good, and the next report soon enough.
func (n *Node) ask(now time.Time, p *pool, team fairness.TeamID) {
	if !p.accounts.HasUnadvertised(team) {
		return
	}
	if n.askTooSoon(now, p) || (p.accounts.AllPeersBacklogged() && p.running() > 0 && !n.stalled(now, p)) {
		return
	}
	n.askedAt = now
	n.report(now, true)
}

// askTooSoon spaces asks for a request or two where slots of this router's own
// fall idle now and then anyway. A fleet that is just full would otherwise ask
// all peers for each request. A burst is asked for at once.
func (n *Node) askTooSoon(now time.Time, p *pool) bool {
	spacing := n.cfg.SlotRequestSpacing * p.accounts.MeanCost()
	return p.running() > 0 && p.queue.Len() <= fewWaiting && now.Sub(n.askedAt).Seconds() < spacing
}

// fewWaiting is how many waiting requests are no burst.
const fewWaiting = 2

// askAgain asks for every team that began to wait unseen, once a peer may have
// an idle slot after all.
func (n *Node) askAgain(now time.Time) {
	for _, id := range slices.Sorted(maps.Keys(n.pools)) {
		p := n.pools[id]
		if p.accounts.AnyUnadvertised() && !p.accounts.AllPeersBacklogged() && !n.askTooSoon(now, p) {
			n.askedAt = now
			n.report(now, true)
			return
		}
	}
}

// tellIdle corrects the peers at once when they think that teams wait here while
// slots stand idle: they would not ask for one, and work would wait beside it.
func (n *Node) tellIdle(now time.Time, p *pool) {
	if p.anyIdle(now) != nil && p.accounts.WaitingReportOutdated() {
		n.report(now, true)
	}
}

// report queues the accounts that have left the line the peers extrapolate.
func (n *Node) report(now time.Time, force bool) {
	n.reportedAt = now
	for _, id := range slices.Sorted(maps.Keys(n.pools)) {
		p := n.pools[id]
		due := p.accounts.DueEntries(now, force)
		if len(due) == 0 {
			continue
		}
		for _, l := range n.links {
			l.entries(id, due)
		}
	}
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
	return p.accounts.HasUnreportedLag(now, n.cfg.Hysteresis*p.accounts.MeanCost())
}
