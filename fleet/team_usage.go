package fleet

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/aspenswitch/aspenswitch/boottime"
	"github.com/aspenswitch/aspenswitch/dispatch"
)

const (
	// minUsageInterval is the minimum time between two usage reports of a home: a fifth of
	// the window of the teams' rates.
	minUsageInterval = 200 * time.Millisecond
	// maxUsageInterval is less than reportHoldTime of package dispatch, for which ledgers
	// and homes use reported usage without decay.
	maxUsageInterval = 900 * time.Millisecond
	// usageIntervalPerTeam increases the interval with the number of teams, so that a home
	// reports at most 1000 teams per second, however many are waiting.
	usageIntervalPerTeam = time.Millisecond
	// usagePartitions is the number of partitions of the teams. The usage of each partition
	// is aggregated by one hub.
	usagePartitions = 8
	// maxTeamsPerReport keeps a datagram below 1.5 kB, at 20 bytes per team.
	maxTeamsPerReport = 60
)

// usagePartition returns the partition of a team.
func usagePartition(team string) int { return int(xxhash.Sum64String(team) % usagePartitions) }

// usageKey returns the key by which the hub of a team's partition is chosen.
func usageKey(team string) string { return "teams/" + strconv.Itoa(usagePartition(team)) }

// reportUsage reports the usage of teams at this router's groups. Each team has a hub that
// aggregates its usage over all homes, and replies with its usage at the other routers.
func (n *Node) reportUsage(now boottime.Time) {
	if now.Sub(n.usageSentAt) < n.usageInterval || n.singleGroup() {
		return
	}
	n.usageSentAt = now
	for _, l := range n.ledgers {
		l.Sweep(time.Duration(now))
	}
	byHub := map[*member][]teamUsage{}
	teams := n.localUsage(now)
	for _, t := range teams {
		hub := n.hubFor(now, usageKey(t.Team))
		byHub[hub] = append(byHub[hub], newTeamUsage(t.Team, t.Usage))
	}
	n.usageInterval = min(max(time.Duration(len(teams))*usageIntervalPerTeam, minUsageInterval), maxUsageInterval)
	for hub, part := range byHub {
		n.sendUsage(now, hub, part)
	}
}

// singleGroup reports whether there is at most one group of engines. Its home then has the
// complete usage of all teams.
func (n *Node) singleGroup() bool {
	s := n.feed.Snapshot()
	if s == nil {
		return true
	}
	groups := 0
	for i := range s.Table.Config.Services {
		if svc := &s.Table.Config.Services[i]; svc.Engine != nil {
			groups += n.groupCounts.update(svc.Name, len(s.View.Ready(svc.Name)))
		}
	}
	return groups <= 1
}

// localUsage returns the usage of teams at this router's groups, sorted by team.
func (n *Node) localUsage(now boottime.Time) []dispatch.TeamUsage {
	all := map[string]dispatch.Usage{}
	for _, g := range n.groups {
		for _, t := range g.core.UsageReport(time.Duration(now)) {
			all[t.Team] = dispatch.Usage{}
		}
	}
	out := make([]dispatch.TeamUsage, 0, len(all))
	for team := range all {
		out = append(out, dispatch.TeamUsage{Team: team, Usage: n.localUsageOf(now, team, nil)})
	}
	slices.SortFunc(out, func(a, b dispatch.TeamUsage) int { return strings.Compare(a.Team, b.Team) })
	return out
}

// localUsageOf returns the usage of a team at all of this router's groups except one.
func (n *Node) localUsageOf(now boottime.Time, team string, except *group) dispatch.Usage {
	var got dispatch.Usage
	for _, g := range n.groups {
		if g == except {
			continue
		}
		served := g.core.LocalUsage(time.Duration(now), team)
		got.Window += served.Window
		got.Recent += served.Recent
	}
	return got
}

// sendUsage reports this router's usage of teams to a hub, nil for this router.
func (n *Node) sendUsage(now boottime.Time, hub *member, teams []teamUsage) {
	if hub == nil {
		n.applyRemoteUsage(now, n.aggregateUsage(now, n.self, teams))
		return
	}
	for part := range slices.Chunk(teams, maxTeamsPerReport) {
		n.send(hub.addr, &packet{Infrequent: &infrequent{Usage: &usageReport{Teams: part}}})
	}
}

// handleUsageReport applies a peer's usage report, or the reply to one of this router.
func (n *Node) handleUsageReport(now boottime.Time, from uint64, report *usageReport) {
	m := n.members[from]
	if m == nil || len(report.Teams) > maxTeamsPerReport {
		return
	}
	if report.IsReply {
		n.applyRemoteUsage(now, report.Teams)
		return
	}
	if others := n.aggregateUsage(now, from, report.Teams); len(others) > 0 {
		n.send(m.addr, &packet{Infrequent: &infrequent{Usage: &usageReport{IsReply: true, Teams: others}}})
	}
}

// aggregateUsage records the usage of teams at a router, and returns their usage at all
// others.
func (n *Node) aggregateUsage(now boottime.Time, router uint64, teams []teamUsage) []teamUsage {
	others := make([]teamUsage, 0, len(teams))
	for i := range teams {
		t := &teams[i]
		l := n.ledgers[usagePartition(t.Team)]
		l.Record(time.Duration(now), router, t.Team, t.validUsage())
		if got, ok := l.RemoteUsage(time.Duration(now), router, t.Team); ok {
			others = append(others, newTeamUsage(t.Team, got))
		}
	}
	return others
}

// applyRemoteUsage updates this router's groups with the usage of teams at other routers.
func (n *Node) applyRemoteUsage(now boottime.Time, teams []teamUsage) {
	for i := range teams {
		t := &teams[i]
		others := t.validUsage()
		for _, g := range n.groups {
			own := n.localUsageOf(now, t.Team, g)
			g.core.SetRemoteUsage(time.Duration(now), t.Team, dispatch.Usage{
				Window: others.Window + own.Window, Recent: others.Recent + own.Recent,
			})
		}
	}
}

func newTeamUsage(team string, got dispatch.Usage) teamUsage {
	return teamUsage{Team: team, Window: float32(got.Window), Recent: float32(got.Recent)}
}

// validUsage returns the usage that a peer has reported. Invalid numbers count as zero,
// because they would distort the shares of all teams.
func (t *teamUsage) validUsage() dispatch.Usage {
	return dispatch.Usage{Window: validTokens(t.Window), Recent: validTokens(t.Recent)}
}

// maxTokens is more than any team uses within the window of the shares.
const maxTokens = 1e12

func validTokens(received float32) float64 {
	if tokens := float64(received); tokens > 0 && tokens < maxTokens {
		return tokens
	}
	return 0
}
