package fleet

import (
	"time"

	"github.com/aspenswitch/aspenswitch/boottime"
	"github.com/aspenswitch/aspenswitch/dispatch"
	"github.com/aspenswitch/aspenswitch/obs"
)

// handlePlaceRequest decides on a peer's request as the home of its group.
func (n *Node) handlePlaceRequest(now boottime.Time, from uint64, req *placeRequest) {
	m := n.members[from]
	if n.feed.Snapshot() == nil || m == nil {
		return // the peer's request times out, and the peer asks this home's successor first
	}
	n.adoptPeerCount(req.Service, req.Group)
	key := groupKey{service: req.Service, index: req.Group.index()}
	g := n.group(now, key)
	if g == nil {
		return
	}
	r := req.toDispatch(from, m.domain)
	r.HandedOver = n.groupOfRequest(n.feed.Snapshot(), req.Service, &r) != key.index
	n.deliver(now, key, g.core.Submit(time.Duration(now), r))
}

// logRefusal logs a refusal with the figures that it is based on.
func (n *Node) logRefusal(key groupKey, d dispatch.Decision) {
	b := &d.Details
	n.limited.Warn("decision", func(e *obs.Event) {
		e.Str("request", b.ID).Str("service", key.service).Str("team", b.Team).Bool("over_share", d.OverShare).
			Int64("served_tokens", int64(b.Served)).Int64("share_tokens", int64(b.Share)).
			Int64("predicted_ms", d.PredictedFirstByte.Milliseconds()).Str("upstream", b.Upstream).
			Int64("unread_ms", b.Backlog.Milliseconds()).Int("waiting", b.Waiting).Int("running", b.Running).Int("warming", b.Warming).
			Int64("retry_after_ms", d.RetryAfter.Milliseconds())
		if b.Slowdown > 0 {
			e.Float64("slowdown", b.Slowdown)
		}
		if b.Reserved > 0 {
			e.Int64("reserved_ms", b.Reserved.Milliseconds())
		}
		if b.NoRoom {
			e.Bool("no_room_expected", true)
		}
		e.Msg("refused by the home")
	})
}

// deliver passes decisions to the requests of this router and sends the others to the
// routers that asked. It also sends the probes that became due with them.
func (n *Node) deliver(now boottime.Time, key groupKey, decisions []dispatch.Decision) {
	for _, d := range decisions {
		n.deliverDecision(now, key, d)
	}
	n.sendProbes(now, key)
}

func (n *Node) deliverDecision(now boottime.Time, key groupKey, d dispatch.Decision) {
	if d.Verdict == dispatch.Refuse && !d.HandOver {
		n.logRefusal(key, d)
	}
	if d.Ticket.Router == n.self {
		n.applyDecision(now, d)
		return
	}
	m := n.members[d.Ticket.Router]
	if m == nil {
		return
	}
	reply := &placeReply{
		Seq: d.Ticket.Seq, Service: key.service, Group: n.groupNumberOf(key), Verdict: d.Verdict, Upstream: d.Upstream, CopyFrom: d.CopyFrom,
		RetryAfterMs: millis(d.RetryAfter), PredictedFirstByteMs: millis(d.PredictedFirstByte), SinceFirstAttemptMs: millis(d.SinceFirstAttempt), OverShare: d.OverShare, Warming: d.Warming,
		Allowance: float32(d.Allowance),
	}
	encodeHandOver(reply, &d)
	n.send(m.addr, &packet{Reply: reply})
}

// handleReport applies a report as the home of the group.
func (n *Node) handleReport(now boottime.Time, from uint64, r *report) {
	if n.feed.Snapshot() == nil {
		return
	}
	key := groupKey{service: r.Service, index: r.Group}
	g := n.group(now, key)
	if g == nil {
		return
	}
	ticket := dispatch.Ticket{Router: from, Seq: r.Seq}
	at := time.Duration(now)
	switch r.Kind {
	case reportStarted:
		n.deliver(now, key, g.core.StartedWithLoad(at, ticket, packedLoad(r.Started).unpack()))
	case reportEnded:
		n.deliver(now, key, g.core.Done(at, ticket, r.Outcome, duration(r.DurationMs)))
	case reportInFlight:
		if r.Request != nil {
			g.core.AddInFlight(at, r.Request.toDispatch(from, n.domainOf(from)), dispatch.Incarnation{ID: r.Upstream, Started: r.Started}, r.ResponseStarted)
		}
	}
}

// domainOf returns the failure domain of a router, "" if it isn't known.
func (n *Node) domainOf(router uint64) string {
	if router == n.self {
		return n.cfg.Domain
	}
	if m := n.members[router]; m != nil {
		return m.domain
	}
	return ""
}
