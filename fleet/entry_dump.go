package fleet

import (
	"maps"
	"slices"
	"time"

	"github.com/aspenswitch/aspenswitch/boottime"
)

// EntryDump is a router's part in leaving the load balancer.
type EntryDump struct {
	// Out is set if the router has left the load balancer, for LeftMs more.
	Out    bool  `json:"out"`
	LeftMs int64 `json:"leftMs"`
	// Overloaded is set while the router turns callers away. OpenedConnections, TurnedAway, Requests
	// and Busy are its load in the last WithinMs or, if it is out, before it left.
	Overloaded        bool  `json:"overloaded"`
	OpenedConnections int64 `json:"openedConnections"`
	TurnedAway        int64 `json:"turnedAway"`
	Requests          int64 `json:"requests"`
	Busy              int64 `json:"busy"`
	WithinMs          int64 `json:"withinMs"`
	// Refusal is why the hub has refused this router's last request to leave, RefusedMs how long ago.
	Refusal   string `json:"refusal,omitempty"`
	RefusedMs int64  `json:"refusedMs,omitempty"`
	// Domains are the failure domains for which this router decides as their hub.
	Domains []EntryDomainDump `json:"domains,omitempty"`
}

// EntryDomainDump is the state of a failure domain's entry points at their hub.
type EntryDomainDump struct {
	Domain      string `json:"failureDomain"`
	Routers     int    `json:"routers"`
	Unavailable int    `json:"unavailable"`
	Overloaded  int    `json:"overloaded"`
	// BudgetMs is the time for which routers may still be out, summed over routers.
	BudgetMs int64 `json:"budgetMs"`
	// Out lists the addresses of the routers that are out of the load balancer.
	Out []string `json:"out"`
}

func (n *Node) dumpEntry(now boottime.Time) EntryDump {
	gate := n.entry.gate
	d := EntryDump{Overloaded: gate.Overloaded()}
	f := gate.Figures()
	if left := gate.SpanEnd() - time.Duration(now); left > 0 {
		d.Out, d.LeftMs, f = true, left.Milliseconds(), n.entry.leftWith
	}
	d.OpenedConnections, d.TurnedAway, d.Requests, d.Busy, d.WithinMs = f.Opened, f.Rejected, f.Received, f.Busy, f.Span.Milliseconds()
	if n.entry.refusedAt != 0 {
		d.Refusal, d.RefusedMs = n.entry.refusal.String(), now.Sub(n.entry.refusedAt).Milliseconds()
	}
	for _, domain := range slices.Sorted(maps.Keys(n.entry.tables)) {
		t := n.entry.tables[domain]
		s := t.State(time.Duration(now))
		d.Domains = append(d.Domains, EntryDomainDump{
			Domain: domain, Routers: s.Routers, Unavailable: s.Unavailable, Overloaded: s.Overloaded, BudgetMs: s.Budget.Milliseconds(), Out: t.Out(),
		})
	}
	return d
}
