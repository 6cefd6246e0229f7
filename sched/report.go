package sched

import (
	"maps"
	"slices"
	"time"

	"github.com/aspenswitch/aspenswitch/fairness"
)

// requestSlots tells the peers at once that a team has begun to wait, if one of them has
// reason to act: it may have an idle slot, or the team is behind the others by so
// much that a holder would give up a slot for it. Else a slot that falls idle
// here is as good, and the next report soon enough.
func (n *Node) requestSlots(now time.Time, p *pool, team fairness.TeamID) {
	if !p.accounts.HasUnadvertised(team) {
		return
	}
	if n.slotRequestTooSoon(now, p) || (p.accounts.AllPeersBacklogged() && p.running() > 0 && !n.hasUnreportedLag(now, p)) {
		return
	}
	n.lastSlotRequestAt = now
	n.report(now, true)
}

// slotRequestTooSoon spaces asks for a request or two where slots of this router's own
// fall idle now and then anyway. A fleet that is just full would otherwise ask
// all peers for each request. A burst is asked for at once.
func (n *Node) slotRequestTooSoon(now time.Time, p *pool) bool {
	spacing := n.cfg.SlotRequestSpacing * p.accounts.MeanCost()
	return p.running() > 0 && p.queue.Len() <= burstThreshold && now.Sub(n.lastSlotRequestAt).Seconds() < spacing
}

// burstThreshold is how many waiting requests are no burst.
const burstThreshold = 2

// retrySlotRequest asks for every team that began to wait unseen, once a peer may have
// an idle slot after all.
func (n *Node) retrySlotRequest(now time.Time) {
	for _, id := range slices.Sorted(maps.Keys(n.pools)) {
		p := n.pools[id]
		if p.accounts.AnyUnadvertised() && !p.accounts.AllPeersBacklogged() && !n.slotRequestTooSoon(now, p) {
			n.lastSlotRequestAt = now
			n.report(now, true)
			return
		}
	}
}

// correctWaiting corrects the peers at once when they think that teams wait here while
// slots stand idle: they would not ask for one, and work would wait beside it.
func (n *Node) correctWaiting(now time.Time, p *pool) {
	if p.mostIdle(now) != nil && p.accounts.WaitingReportOutdated() {
		n.report(now, true)
	}
}

// report queues the accounts that have left the line the peers extrapolate.
func (n *Node) report(now time.Time, force bool) {
	n.lastReportAt = now
	for _, id := range slices.Sorted(maps.Keys(n.pools)) {
		p := n.pools[id]
		due := p.accounts.DueEntries(now, force)
		if len(due) == 0 {
			continue
		}
		for _, l := range n.links {
			l.addEntries(id, due)
		}
	}
}

// reportIfDue reports at most every ReportEvery: what diverged, and at once what a
// peer would act on. What only ceased to wait goes with the next heartbeat.
func (n *Node) reportIfDue(now time.Time) {
	since := now.Sub(n.lastReportAt)
	if since < n.cfg.ReportEvery {
		return
	}
	n.report(now, since >= n.cfg.Heartbeat || n.anyUnreportedLag(now))
}

func (n *Node) anyUnreportedLag(now time.Time) bool {
	for _, p := range n.pools {
		if n.hasUnreportedLag(now, p) {
			return true
		}
	}
	return false
}

// hasUnreportedLag reports whether a team waits here that a holder elsewhere would give
// up a slot for, if it knew.
func (n *Node) hasUnreportedLag(now time.Time, p *pool) bool {
	return p.accounts.HasUnreportedLag(now, n.cfg.Hysteresis*p.accounts.MeanCost())
}
