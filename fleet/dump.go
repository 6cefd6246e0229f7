package fleet

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/aspenswitch/aspenswitch/boottime"
	"github.com/aspenswitch/aspenswitch/dispatch"
	"github.com/aspenswitch/aspenswitch/feed"
	"github.com/aspenswitch/aspenswitch/revision"
)

// Dump is the state of a node for operators.
type Dump struct {
	Router        uint64 `json:"router"`
	Domain        string `json:"failureDomain"`
	Hub           bool   `json:"hub"`
	ReadsPlatform bool   `json:"readsPlatform"`
	// PlatformUnreachable is set if the platform has recently not answered this router.
	PlatformUnreachable bool `json:"platformUnreachable"`
	// Revision is the platform's counter within Epoch, which counts its restores from a copy.
	Revision int64 `json:"revision"`
	Epoch    int64 `json:"epoch"`
	AgeMs    int64 `json:"ageMs"`
	Pending  int   `json:"pending"`
	InFlight int   `json:"held"`
	// Evacuated are the failure domains that are being evacuated.
	Evacuated []string `json:"evacuated"`
	// Versions lists the software versions of the upstreams, by service.
	Versions []VersionDump `json:"versions"`
	// Streams is the number of streams whose software version this router has recorded.
	Streams int          `json:"streams"`
	Members []MemberDump `json:"members"`
	Groups  []GroupDump  `json:"groups"`
	// PullFailures are the transfers of peers' states to this router that failed.
	PullFailures PullFailures `json:"pullFailures"`
	// Entry is this router's part in leaving the load balancer when it is overloaded.
	Entry EntryDump `json:"entry"`
	// Quarantine lists the contents and parts that are suspect or in quarantine.
	Quarantine []QuarantineDump `json:"quarantine"`
}

// VersionDump is the number of a service's upstreams with one software version.
type VersionDump struct {
	Service string `json:"service"`
	// Version is "" for upstreams of which it isn't known.
	Version    string `json:"version"`
	Registered int    `json:"registered"`
	Ready      int    `json:"ready"`
}

// QuarantineDump is the quarantine state of a content of a team, or of a part of prompts.
type QuarantineDump struct {
	Team    string `json:"team"`
	Content string `json:"content"`
	// Part is the ID of the part, "" for a content.
	Part    string `json:"part,omitempty"`
	Status  string `json:"status"`
	Crashes int    `json:"crashes"`
	LeftMs  int64  `json:"leftMs"`
}

// MemberDump is the state of a member.
type MemberDump struct {
	Router        uint64 `json:"router"`
	Address       string `json:"address"`
	Domain        string `json:"failureDomain"`
	Hub           bool   `json:"hub"`
	Leaving       bool   `json:"leaving"`
	Unresponsive  bool   `json:"doubted"`
	LastContactMs int64  `json:"heardMs"`
}

// GroupDump is the state of a group.
type GroupDump struct {
	Group string         `json:"group"`
	Home  uint64         `json:"home"`
	State dispatch.State `json:"state"`
}

// Dump returns the node's state. It is empty if the node has stopped.
func (n *Node) Dump() Dump {
	answer := make(chan Dump, 1)
	n.post(callEvent{do: func(now boottime.Time) { answer <- n.dump(now) }})
	select {
	case d := <-answer:
		return d
	case <-n.done:
		return Dump{}
	}
}

func (n *Node) dump(now boottime.Time) Dump {
	d := Dump{Router: n.self, Domain: n.cfg.Domain, Hub: n.isHub, ReadsPlatform: n.readsPlatform.Load(), Pending: len(n.pending), InFlight: len(n.inFlight), PullFailures: n.pullFailures.Dump(), Streams: n.streams.origins.Len()}
	if n.feed != nil {
		d.PlatformUnreachable = n.feed.PlatformUnreachable()
		d.AgeMs = n.feed.Age().Milliseconds()
		if s := n.feed.Snapshot(); s != nil {
			d.Revision, d.Epoch, d.Evacuated = revision.Counter(s.Revision), revision.Epoch(s.Revision), s.View.Evacuated()
			d.Versions = dumpVersions(s)
		}
	}
	d.Entry = n.dumpEntry(now)
	for _, m := range n.members {
		d.Members = append(d.Members, MemberDump{
			Router: m.id, Address: m.addr.String(), Domain: m.domain, Hub: m.isHub,
			Leaving: m.leaving, Unresponsive: m.unresponsive, LastContactMs: now.Sub(m.lastContact).Milliseconds(),
		})
	}
	for _, g := range n.groups {
		d.Groups = append(d.Groups, GroupDump{Group: g.name, Home: g.home, State: g.core.State(time.Duration(now))})
	}
	for _, e := range n.quarantine.table.Entries(time.Duration(now)) {
		held := QuarantineDump{Status: e.Status.String(), Crashes: e.Crashes, LeftMs: e.Left.Milliseconds()}
		if e.ID.Part {
			held.Part = e.ID.String()
		} else {
			held.Team, held.Content = e.ID.Team, e.ID.String()
		}
		d.Quarantine = append(d.Quarantine, held)
	}
	return d
}

// decodeParams decodes the parameters of a JSON-RPC request.
func decodeParams(req *jsonrpc2.Request, into any) error {
	if req.Params == nil {
		return &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: "no parameters"}
	}
	if err := json.Unmarshal(*req.Params, into); err != nil {
		return &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
	}
	return nil
}

const (
	// groupLogInterval is the time between two log lines of a group. Users compare the
	// usage of teams second by second, and shares change with the most recent requests.
	groupLogInterval = time.Second
	// maxTeamsLogged limits the teams that are logged with a group. More teams than that
	// don't flood a group at the same time.
	maxTeamsLogged = 6
)

// logGroups logs the decisions of this router as a home, and the state they are based on.
func (n *Node) logGroups(now boottime.Time) {
	for _, g := range n.groups {
		if now.Sub(g.loggedAt) < groupLogInterval {
			continue
		}
		g.loggedAt = now
		s := g.core.State(time.Duration(now))
		since := s.Counts.Since(g.loggedCounts)
		g.loggedCounts = s.Counts
		if since.Submitted == 0 {
			continue
		}
		line := n.log.Info().Str("event", "group").Str("group", g.name).Bool("home", g.home == n.self).
			Int("upstreams", s.Upstreams).Int("banned", s.Banned).Int("warming", s.Warming).Float64("use", s.Utilization).Int64("unread_ms", s.Backlog.Milliseconds()).
			Int("waiting", s.Waiting).Int("running", s.Running).Int64("served_tokens", int64(s.Served)).
			Int64("room_tokens", int64(s.Capacity)).Int64("share_tokens", int64(s.FairShare)).Float64("over_use", s.OverShareTargetFraction).
			Int("asked", since.Submitted).Int("sent", since.Sent).Int("refused", since.Refused).Int("refused_over", since.RefusedOverShare).
			Int("near", since.Near).Int("far", since.Far).Int("copied_for_domain", since.CopiedForDomain).
			Int("handed_over", since.HandedOver).Int("taken_over", since.TakenOver).
			Int64("lag_us", n.Lag().Microseconds())
		if l := s.Stated; l != nil {
			line.Float64("prefill_factor", s.PrefillFactor).Int("state_load", l.Upstreams).Float64("slowdown", l.Slowdown).
				Int64("slowdown_age_ms", l.Age.Milliseconds()).Int("slow", l.Slow).Int("other_requests", l.OtherRequests)
		}
		if s.Counts.Reservations > 0 {
			line.Int("reserved", since.Reservations).Int("reserved_kept", since.ReservationsKept).Int("reserved_missed", since.ReservationsMissed).
				Int("reserved_unused", since.ReservationsUnused).Int("reserved_void", since.ReservationsVoid)
		}
		line.Msg("decisions of a group")
		if since.Refused > 0 {
			n.logTeams(now, g, s.FairShare)
		}
	}
}

// logTeams logs the usage and share of the teams of a group that refuses requests.
func (n *Node) logTeams(now boottime.Time, g *group, level float64) {
	for _, t := range g.core.Teams(time.Duration(now), maxTeamsLogged) {
		n.log.Info().Str("event", "share").Str("group", g.name).Str("team", t.Team).Int64("asked_tokens", int64(t.Requested)).
			Int64("served_tokens", int64(t.Served)).Int64("lately_tokens", int64(t.Recent)).
			Int64("elsewhere_tokens", int64(t.Remote)).
			Int64("group_asked_sum", int64(t.RequestedTotal)).Int64("group_served_sum", int64(t.ServedTotal)).
			Int64("share_tokens", int64(level)).Bool("over_share", t.OverShare).Msg("a team's account")
	}
}

// dumpVersions returns the software versions of each service's upstreams, in order.
func dumpVersions(s *feed.Snapshot) (all []VersionDump) {
	for i := range s.Table.Config.Services {
		service := s.Table.Config.Services[i].Name
		counts := s.View.Versions(service)
		for _, version := range slices.Sorted(maps.Keys(counts)) {
			all = append(all, VersionDump{Service: service, Version: version, Registered: counts[version].Registered, Ready: counts[version].Ready})
		}
	}
	return all
}
