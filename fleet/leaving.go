package fleet

import (
	"time"

	"github.com/aspenswitch/aspenswitch/boottime"
	"github.com/aspenswitch/aspenswitch/dispatch"
)

// leavingEvent reports to the control goroutine that an upstream is shutting down.
type leavingEvent struct {
	service  string
	upstream dispatch.Incarnation
}

// ReportLeaving implements gateway.Placer.
func (n *Node) ReportLeaving(service string, upstream dispatch.Incarnation) {
	n.post(leavingEvent{service: service, upstream: upstream})
}

// handleLeaving records a leaving notice that this router has received from an upstream, and
// forwards it to the home of the upstream's group. The home would otherwise choose the
// upstream until the platform's state shows that it is leaving.
func (n *Node) handleLeaving(now boottime.Time, e leavingEvent) {
	n.recordLeaving(now, e.upstream)
	s := n.feed.Snapshot()
	if s == nil {
		return
	}
	index := groupOfUpstream(e.upstream.ID, n.groupCounts.update(e.service, len(s.View.Ready(e.service))))
	g := n.group(now, groupKey{service: e.service, index: index})
	if g == nil {
		return
	}
	if home := n.homeOf(now, g); home != nil {
		n.send(home.addr, &packet{Infrequent: &infrequent{Leaving: &leavingReport{Upstream: e.upstream.ID, Started: e.upstream.Started}}})
	}
}

// handleLeavingReport records a leaving notice that another router has received from an upstream.
func (n *Node) handleLeavingReport(now boottime.Time, r *leavingReport) {
	n.recordLeaving(now, dispatch.Incarnation{ID: r.Upstream, Started: r.Started})
}

// recordLeaving marks an upstream as leaving and removes it from this router's groups.
func (n *Node) recordLeaving(now boottime.Time, upstream dispatch.Incarnation) {
	if n.availability.RecordLeaving(time.Duration(now), upstream) {
		n.log.Info().Str("event", "upstream_leaving").Str("upstream", upstream.ID).Int64("started", upstream.Started).Msg("removed leaving upstream from its group")
		n.applyState(now)
	}
}
