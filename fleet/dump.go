package fleet

import (
	"encoding/json"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/aspenswitch/aspenswitch/boottime"
	"github.com/aspenswitch/aspenswitch/dispatch"
)

// Dump is a node's state, for operators.
type Dump struct {
	Router   uint64 `json:"router"`
	Domain   string `json:"failureDomain"`
	Hub      bool   `json:"hub"`
	Reads    bool   `json:"readsPlatform"`
	Revision int64  `json:"revision"`
	AgeMs    int64  `json:"ageMs"`
	Pending  int    `json:"pending"`
	Held     int    `json:"held"`
	// Evacuated are the failure domains that are being evacuated.
	Evacuated []string     `json:"evacuated"`
	Members   []MemberDump `json:"members"`
	Groups    []GroupDump  `json:"groups"`
	// Quarantine lists the contents that are suspect or in quarantine.
	Quarantine []ContentDump `json:"quarantine"`
}

// ContentDump is the quarantine state of a content.
type ContentDump struct {
	Team    string `json:"team"`
	Content string `json:"content"`
	Status  string `json:"status"`
	Crashes int    `json:"crashes"`
	LeftMs  int64  `json:"leftMs"`
}

// MemberDump is a peer's.
type MemberDump struct {
	Router  uint64 `json:"router"`
	Address string `json:"address"`
	Domain  string `json:"failureDomain"`
	Hub     bool   `json:"hub"`
	Leaving bool   `json:"leaving"`
	Doubted bool   `json:"doubted"`
	HeardMs int64  `json:"heardMs"`
}

// GroupDump is a group's.
type GroupDump struct {
	Group string         `json:"group"`
	Home  uint64         `json:"home"`
	State dispatch.State `json:"state"`
}

// Dump returns the node's state; it is empty once the node has ended.
func (n *Node) Dump() Dump {
	answer := make(chan Dump, 1)
	n.post(inspectEvent{do: func(now boottime.Time) { answer <- n.dump(now) }})
	select {
	case d := <-answer:
		return d
	case <-n.over:
		return Dump{}
	}
}

func (n *Node) dump(now boottime.Time) Dump {
	d := Dump{Router: n.self, Domain: n.cfg.Domain, Hub: n.hub, Reads: n.reads.Load(), Pending: len(n.pending), Held: len(n.held)}
	if n.feed != nil {
		d.AgeMs = n.feed.Age().Milliseconds()
		if s := n.feed.Snapshot(); s != nil {
			d.Revision, d.Evacuated = s.Revision, s.View.Evacuated()
		}
	}
	for _, m := range n.members {
		d.Members = append(d.Members, MemberDump{
			Router: m.id, Address: m.addr.String(), Domain: m.domain, Hub: m.hub,
			Leaving: m.leaving, Doubted: m.doubted, HeardMs: now.Sub(m.heard).Milliseconds(),
		})
	}
	for _, g := range n.groups {
		d.Groups = append(d.Groups, GroupDump{Group: g.key, Home: g.home, State: g.core.State(time.Duration(now))})
	}
	for _, e := range n.quarantine.table.Entries(time.Duration(now)) {
		d.Quarantine = append(d.Quarantine, ContentDump{
			Team: e.ID.Team, Content: e.ID.String(), Status: e.Status.String(), Crashes: e.Crashes, LeftMs: e.Left.Milliseconds(),
		})
	}
	return d
}

// decodeParams reads a request's parameters.
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
	// logGroupEvery is the time between two lines on a group. Users compare what teams
	// got second by second, and a share moves with what was asked in the last moments.
	logGroupEvery = time.Second
	// teamsTold is how many teams are told with a group: more than flood it at once.
	teamsTold = 6
)

// logGroups tells what this router has decided as a home, and from what state.
func (n *Node) logGroups(now boottime.Time) {
	for _, g := range n.groups {
		if now.Sub(g.toldAt) < logGroupEvery {
			continue
		}
		g.toldAt = now
		s := g.core.State(time.Duration(now))
		since := s.Counts.Since(g.told)
		g.told = s.Counts
		if since.Submitted == 0 {
			continue
		}
		n.log.Info().Str("event", "group").Str("group", g.key).Bool("home", g.home == n.self).
			Int("upstreams", s.Upstreams).Int("banned", s.Banned).Int("warming", s.Warming).Float64("use", s.Utilization).Int64("unread_ms", s.Backlog.Milliseconds()).
			Int("waiting", s.Waiting).Int("running", s.Running).Int64("served_tokens", int64(s.Served)).
			Int64("room_tokens", int64(s.Capacity)).Int64("share_tokens", int64(s.FairShare)).Float64("over_use", s.OverShareTargetFraction).
			Int("asked", since.Submitted).Int("sent", since.Sent).Int("refused", since.Refused).Int("refused_over", since.RefusedOverShare).
			Int64("lag_us", n.Lag().Microseconds()).Msg("decisions of a group")
		if since.Refused > 0 {
			n.logTeams(now, g, s.FairShare)
		}
	}
}

// logTeams tells how the teams stand that a group's home refuses.
func (n *Node) logTeams(now boottime.Time, g *group, level float64) {
	for _, t := range g.core.Teams(time.Duration(now), teamsTold) {
		n.log.Info().Str("event", "share").Str("group", g.key).Str("team", t.Team).Int64("asked_tokens", int64(t.Requested)).
			Int64("served_tokens", int64(t.Served)).Int64("lately_tokens", int64(t.Recent)).
			Int64("elsewhere_tokens", int64(t.Remote)).
			Int64("group_asked_sum", int64(t.RequestedTotal)).Int64("group_served_sum", int64(t.ServedTotal)).
			Int64("share_tokens", int64(level)).Bool("over_share", t.OverShare).Msg("a team's account")
	}
}
