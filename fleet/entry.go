package fleet

import (
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/aspenswitch/aspenswitch/boottime"
	"github.com/aspenswitch/aspenswitch/entry"
	"github.com/aspenswitch/aspenswitch/obs"
)

// entryState is this router's part in package entry: its gate, and the tables of the failure domains
// for which it is the responsible hub. It is owned by the control goroutine.
type entryState struct {
	gate *entry.Gate
	// tables are by failure domain; they were chosen at chosenAt and updated at tickedAt.
	tables             map[string]*entry.Table
	chosenAt, tickedAt boottime.Time
	// leftWith is the load on which this router has left.
	leftWith entry.Figures
	// refusal is the reason of the last refusal, and refusedAt its time.
	refusal   entry.Reason
	refusedAt boottime.Time
	stats     entryStats
}

// entryStats are the metrics of leaving the load balancer: of this router, and of its decisions as
// a hub.
type entryStats struct {
	left, returned, refused          tally.Counter
	grantedByHub, refusedByHub       tally.Counter
	out, routersOut, overloadedPeers tally.Gauge
}

func newEntryState(scope tally.Scope) entryState {
	if scope == nil {
		scope = tally.NoopScope
	}
	return entryState{gate: entry.NewGate(), tables: map[string]*entry.Table{}, stats: entryStats{
		left: scope.Counter("entry_left"), returned: scope.Counter("entry_returned"), refused: scope.Counter("entry_refused"),
		grantedByHub: scope.Counter("entry_hub_granted"), refusedByHub: scope.Counter("entry_hub_refused"),
		out: scope.Gauge("entry_out"), routersOut: scope.Gauge("entry_hub_out"), overloadedPeers: scope.Gauge("entry_hub_overloaded"),
	}}
}

// OutOfRotation reports whether this router has left the load balancer because it is overloaded.
func (n *Node) OutOfRotation() bool { return n.now() < boottime.Time(n.outUntil.Load()) }

const percent = 100

// entryKey returns the key by which the hub of a failure domain's entry points is chosen.
func entryKey(domain string) string { return "entry/" + domain }

// tickEntry measures this router's load and updates the tables of which it is the hub.
func (n *Node) tickEntry(now boottime.Time) {
	if n.cfg.EntryLoad == nil || n.entry.tickedAt != 0 && now.Sub(n.entry.tickedAt) < slowTick {
		return
	}
	n.entry.tickedAt = now
	n.updateEntryTables(now)
	load, serving := n.cfg.EntryLoad()
	n.requestEntry(now, n.entry.gate.Observe(time.Duration(now), load, serving && !n.leaving))
	n.publishEntry()
}

// publishEntry makes the gate's state known to other goroutines.
func (n *Node) publishEntry() {
	until := n.entry.gate.OutUntil()
	n.outUntil.Store(int64(until))
	n.entry.stats.out.Update(float64(min(until, 1)))
}

// requestEntry sends what the gate requires to the hub that is responsible for this router's failure
// domain. Without a hub in reach, the router stays ready.
func (n *Node) requestEntry(now boottime.Time, a entry.Action) {
	if a.Kind == entry.DoNothing {
		return
	}
	if a.Kind == entry.End {
		n.logReturn(a.Reason)
	}
	m := entryMessage{AskedAt: int64(now), SpanMs: millis(a.Span), DemandPercent: int32(percent * a.Demand)}
	switch a.Kind {
	case entry.Ask:
		m.Kind = entryAsk
	case entry.Renew:
		m.Kind = entryRenew
	default:
		m.Kind = entryEnd
	}
	if hub := n.hubFor(now, entryKey(n.cfg.Domain)); hub != nil {
		n.sendEntryMessage(hub, m)
	} else if t := n.entryTable(now, n.cfg.Domain); t != nil {
		if reply := n.decideEntry(now, t, n.cfg.Domain, n.cfg.IP, &m); reply != nil {
			n.applyEntryReply(now, reply)
		}
	}
}

func (n *Node) sendEntryMessage(to *member, m entryMessage) {
	n.send(to.addr, &packet{Extension: &extension{Entry: &m}})
}

// handleEntryMessage decides on a peer's request, or applies the hub's answer to one of this router.
func (n *Node) handleEntryMessage(now boottime.Time, from *member, m *entryMessage) {
	if n.cfg.EntryLoad == nil {
		return
	}
	if m.Kind == entryGranted || m.Kind == entryRefused {
		n.applyEntryReply(now, m)
		n.publishEntry()
		return
	}
	t := n.entryTable(now, from.domain)
	if t == nil {
		return // the peer has chosen another hub than this router
	}
	if reply := n.decideEntry(now, t, from.domain, from.ip, m); reply != nil {
		n.sendEntryMessage(from, *reply)
	}
}

// applyEntryReply applies the hub's answer to a request of this router.
func (n *Node) applyEntryReply(now boottime.Time, m *entryMessage) {
	gate, at, askedAt := n.entry.gate, time.Duration(now), time.Duration(min(m.AskedAt, int64(now)))
	out := gate.OutUntil() != 0
	if m.Kind == entryGranted {
		n.requestEntry(now, gate.Granted(at, askedAt, duration(m.SpanMs)))
		if !out && gate.OutUntil() != 0 {
			n.entry.leftWith = gate.Figures()
			n.entry.stats.left.Inc(1)
			n.logEntry("router leaves the load balancer", func(e *obs.Event) { e.Int32("span_ms", m.SpanMs) })
		}
		return
	}
	n.requestEntry(now, gate.Refused(at, askedAt, m.Reason))
	if !out {
		n.entry.refusal, n.entry.refusedAt = m.Reason, now
		n.entry.stats.refused.Inc(1)
		n.logEntry("overloaded router may not leave the load balancer", func(e *obs.Event) { e.Stringer("why", m.Reason) })
	}
}

func (n *Node) logReturn(reason entry.Reason) {
	if reason == entry.NotOverloaded {
		return // a grant that came too late
	}
	n.entry.stats.returned.Inc(1)
	n.logEntry("router returns to the load balancer", func(e *obs.Event) { e.Stringer("why", reason) })
}

// logEntry logs an event of this router with the load that it is based on.
func (n *Node) logEntry(message string, add func(*obs.Event)) {
	f := n.entry.gate.Figures()
	n.limited.Info("entry", func(e *obs.Event) {
		add(e)
		e.Int64("opened", f.Opened).Int64("turned_away", f.Rejected).Int64("asked", f.Received).Int64("busy", f.Busy).
			Float64("cores_used", f.Processor).Float64("cores", n.cfg.Weight).Int64("within_ms", f.Span.Milliseconds()).Msg(message)
	})
}
