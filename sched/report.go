package sched

import (
	"maps"
	"slices"
	"time"

	"github.com/aspenswitch/aspenswitch/fairness"
)

// requestSlots reports at once that a team has started to wait, if this may get it
// a slot: a peer may have an idle slot, or the team is so far behind that a
// holder would give up a slot for it. Otherwise a slot that becomes idle here
// serves as well, and the next regular report is soon enough.
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

// slotRequestTooSoon limits the rate of slot requests for one or two waiting
// requests while this router has running requests, whose slots become idle
// anyway. Without it, a fleet that is just saturated would send a slot request
// to all peers for each request. Slots for a burst are requested at once.
func (n *Node) slotRequestTooSoon(now time.Time, p *pool) bool {
	spacing := n.cfg.SlotRequestSpacing * p.accounts.MeanCost()
	return p.running() > 0 && p.queue.Len() <= burstThreshold && now.Sub(n.lastSlotRequestAt).Seconds() < spacing
}

// burstThreshold is the number of waiting requests above which they are a burst.
const burstThreshold = 2

// retrySlotRequest requests slots for teams whose waiting requests were not
// advertised, once a peer may have an idle slot.
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

// correctWaiting sends a report at once if the last one lists teams as waiting
// here while slots are idle: peers would not request such a slot, and their
// requests would wait while it is idle.
func (n *Node) correctWaiting(now time.Time, p *pool) {
	if p.mostIdle(now) != nil && p.accounts.WaitingReportOutdated() {
		n.report(now, true)
	}
}

// report queues the accounts that have deviated from the peers' extrapolation.
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

// reportIfDue reports at most every ReportEvery: accounts that diverged, and a
// lagging team that a peer would give up a slot for. That a team stopped waiting
// is otherwise reported with the next heartbeat.
func (n *Node) reportIfDue(now time.Time) {
	elapsed := now.Sub(n.lastReportAt)
	if elapsed < n.cfg.ReportEvery {
		return
	}
	n.report(now, elapsed >= n.cfg.Heartbeat || n.anyUnreportedLag(now))
}

func (n *Node) anyUnreportedLag(now time.Time) bool {
	for _, p := range n.pools {
		if n.hasUnreportedLag(now, p) {
			return true
		}
	}
	return false
}

// hasUnreportedLag reports whether a team waits here for which a holder
// elsewhere would give up a slot if its requests were reported.
func (n *Node) hasUnreportedLag(now time.Time, p *pool) bool {
	return p.accounts.HasUnreportedLag(now, n.cfg.Hysteresis*p.accounts.MeanCost())
}
