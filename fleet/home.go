package fleet

import (
	"time"

	"github.com/aspenswitch/aspenswitch/boottime"
	"github.com/aspenswitch/aspenswitch/dispatch"
	"github.com/aspenswitch/aspenswitch/obs"
)

// asked decides for a peer, as the home of the group.
func (n *Node) asked(now boottime.Time, from uint64, a *ask) {
	if n.feed.Snapshot() == nil || n.members[from] == nil {
		return // the asker decides by itself
	}
	n.toldGroups(a.Service, a.Group)
	key := groupKey{service: a.Service, index: a.Group.index()}
	g := n.group(now, key)
	if g == nil {
		return
	}
	n.deliver(now, key, g.core.Submit(time.Duration(now), a.request(from)))
}

// logRefusal tells what a refusal rests on.
func (n *Node) logRefusal(key groupKey, d dispatch.Decision) {
	b := &d.Details
	n.limited.Warn("decision", func(e *obs.Event) {
		e.Str("request", b.ID).Str("service", key.service).Str("team", b.Team).Bool("over_share", d.OverShare).
			Int64("served_tokens", int64(b.Served)).Int64("share_tokens", int64(b.Share)).
			Int64("predicted_ms", d.PredictedFirstByte.Milliseconds()).Str("upstream", b.Upstream).
			Int64("unread_ms", b.Backlog.Milliseconds()).Int("waiting", b.Waiting).Int("running", b.Running).Int("warming", b.Warming).
			Int64("retry_after_ms", d.RetryAfter.Milliseconds()).Msg("refused by the home")
	})
}

// deliver hands decisions to the requests, here or at peers.
func (n *Node) deliver(now boottime.Time, key groupKey, decisions []dispatch.Decision) {
	for _, d := range decisions {
		if d.Verdict == dispatch.Refuse {
			n.logRefusal(key, d)
		}
		if d.Ticket.Router == n.self {
			n.decided(now, d)
			continue
		}
		m := n.members[d.Ticket.Router]
		if m == nil {
			continue
		}
		n.send(m.addr, &packet{Reply: &reply{
			Seq: d.Ticket.Seq, Service: key.service, Group: n.numberOf(key), Verdict: d.Verdict, Upstream: d.Upstream, CopyFrom: d.CopyFrom,
			RetryMs: millis(d.RetryAfter), WaitMs: millis(d.PredictedFirstByte), WaitedMs: millis(d.SinceFirstAttempt), Over: d.OverShare, Warming: d.Warming,
			Allowance: float32(d.Allowance),
		}})
	}
}

// takeReport takes in a report as the home of the group.
func (n *Node) takeReport(now boottime.Time, from uint64, r *report) {
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
	case began:
		n.deliver(now, key, g.core.Started(at, ticket))
	case ended:
		n.deliver(now, key, g.core.Done(at, ticket, r.Outcome, duration(r.TookMs)))
	case holds:
		if r.Held != nil {
			g.core.AddInFlight(at, r.Held.request(from), dispatch.Incarnation{ID: r.Upstream, Started: r.Started}, r.Begun)
		}
	}
}
