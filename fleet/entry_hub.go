package fleet

import (
	"time"

	"github.com/aspenswitch/aspenswitch/boottime"
	"github.com/aspenswitch/aspenswitch/entry"
	"github.com/aspenswitch/aspenswitch/obs"
)

// updateEntryTables chooses the failure domains of which this router is the responsible hub, and
// sets their routers.
func (n *Node) updateEntryTables(now boottime.Time) {
	if n.entry.chosenAt == 0 || now.Sub(n.entry.chosenAt) >= hubChoiceInterval {
		n.entry.chosenAt = now
		n.chooseEntryTables(now)
	}
	out, overloaded := 0, 0
	for domain, t := range n.entry.tables {
		t.Update(time.Duration(now), n.entryRouters(now, domain))
		s := t.State(time.Duration(now))
		out, overloaded = out+s.Out, overloaded+s.Overloaded
	}
	n.entry.stats.routersOut.Update(float64(out))
	n.entry.stats.overloadedPeers.Update(float64(overloaded))
}

func (n *Node) chooseEntryTables(now boottime.Time) {
	domains := map[string]bool{n.cfg.Domain: true}
	for _, m := range n.members {
		domains[m.domain] = true
	}
	for domain := range n.entry.tables {
		if !domains[domain] || !n.isEntryHub(now, domain) {
			delete(n.entry.tables, domain)
		}
	}
	for domain := range domains {
		if n.entry.tables[domain] == nil && n.isEntryHub(now, domain) {
			n.entry.tables[domain] = entry.NewTable(time.Duration(now), n.entryRouters(now, domain))
		}
	}
}

// isEntryHub reports whether this router is the hub responsible for a failure domain's entry points.
func (n *Node) isEntryHub(now boottime.Time, domain string) bool {
	return n.isHub && !n.leaving && n.hubFor(now, entryKey(domain)) == nil
}

// entryTable returns the table of a failure domain, nil if another router is its hub.
func (n *Node) entryTable(now boottime.Time, domain string) *entry.Table {
	if !n.isEntryHub(now, domain) {
		return nil
	}
	if n.entry.tables[domain] == nil {
		n.entry.tables[domain] = entry.NewTable(time.Duration(now), n.entryRouters(now, domain))
	}
	return n.entry.tables[domain]
}

// entryRouters returns the routers of a failure domain.
func (n *Node) entryRouters(now boottime.Time, domain string) []entry.Router {
	var routers []entry.Router
	if domain == n.cfg.Domain {
		routers = append(routers, entry.Router{Address: n.cfg.IP, Weight: n.cfg.Weight, Available: !n.leaving && n.feed != nil && n.feed.Fresh()})
	}
	for _, m := range n.members {
		if m.domain == domain {
			available := n.usable(now, m) && n.feed != nil && n.feed.FreshAtAge(m.stateAge)
			routers = append(routers, entry.Router{Address: m.ip, Weight: m.weight, Available: available})
		}
	}
	return routers
}

// decideEntry decides as the hub on a router's request. It returns the answer, or nil if there is
// none.
func (n *Node) decideEntry(now boottime.Time, t *entry.Table, domain, address string, m *entryMessage) *entryMessage {
	var d entry.Decision
	switch m.Kind {
	case entryAsk:
		d = t.Ask(time.Duration(now), address, duration(m.SpanMs), float64(m.DemandPercent)/percent)
	case entryRenew:
		d = t.Renew(time.Duration(now), address, duration(m.SpanMs))
	case entryEnd:
		t.End(time.Duration(now), address)
		return nil
	default:
		return nil
	}
	switch d.Verdict {
	case entry.Grant:
		if m.Kind == entryAsk {
			n.entry.stats.grantedByHub.Inc(1)
			n.logEntryDecision("hub lets a router leave the load balancer", domain, address, d)
		}
		return &entryMessage{Kind: entryGranted, AskedAt: m.AskedAt, SpanMs: millis(d.Span)}
	case entry.Refuse:
		n.entry.stats.refusedByHub.Inc(1)
		n.logEntryDecision("hub requires a router to be ready", domain, address, d)
		return &entryMessage{Kind: entryRefused, AskedAt: m.AskedAt, Reason: d.Reason}
	case entry.Wait:
	}
	return nil
}

// logEntryDecision logs a decision of this router as a hub with the state that it is based on.
func (n *Node) logEntryDecision(message, domain, address string, d entry.Decision) {
	s := d.Domain
	n.limited.Info("entry_hub", func(e *obs.Event) {
		e.Str("domain", domain).Str("ip", address).Stringer("why", d.Reason).Int64("span_ms", d.Span.Milliseconds()).
			Int("routers", s.Routers).Int("out", s.Out).Int("unavailable", s.Unavailable).Int("overloaded", s.Overloaded).
			Float64("cores", s.Processor).Float64("cores_in_rotation", s.InRotation).Float64("cores_not_overloaded", s.Helpful).
			Int64("budget_ms", s.Budget.Milliseconds()).Msg(message)
	})
}
