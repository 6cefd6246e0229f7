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
	// minTallyEvery is the time between two tallies of a home: a fifth of the span of
	// teams' rates.
	minTallyEvery = 200 * time.Millisecond
	// maxTallyEvery is less than the time for which a tally stays as it was told.
	maxTallyEvery = 900 * time.Millisecond
	// tallyPerTeam stretches that time, so that a home tells of a thousand teams a
	// second at most, however many wait.
	tallyPerTeam = time.Millisecond
	// tallyParts divides the teams over the hubs that add up.
	tallyParts = 8
	// teamsInTally keeps a datagram under a kilobyte and a half, at 20 bytes a team.
	teamsInTally = 60
)

// tallyPart is the part of the teams to which one belongs.
func tallyPart(team string) int { return int(xxhash.Sum64String(team) % tallyParts) }

// tallyKey names that part where its hub is chosen.
func tallyKey(team string) string { return "teams/" + strconv.Itoa(tallyPart(team)) }

// tellTallies tells what this router's homes gave to teams. Each team has a hub that adds
// up what all homes gave it, and answers with what the others did.
func (n *Node) tellTallies(now boottime.Time) {
	if now.Sub(n.talliedAt) < n.tallyEvery || n.fewGroups() {
		return
	}
	n.talliedAt = now
	for _, l := range n.ledgers {
		l.Sweep(time.Duration(now))
	}
	byHub := map[*member][]teamGot{}
	teams := n.teamsServed(now)
	for _, t := range teams {
		hub := n.hubFor(now, tallyKey(t.Team))
		byHub[hub] = append(byHub[hub], newTeamGot(t.Team, t.Usage))
	}
	n.tallyEvery = min(max(time.Duration(len(teams))*tallyPerTeam, minTallyEvery), maxTallyEvery)
	for hub, part := range byHub {
		n.sendTally(now, hub, part)
	}
}

// fewGroups reports whether one home decides on all engines: it knows what teams got.
func (n *Node) fewGroups() bool {
	s := n.feed.Snapshot()
	if s == nil {
		return true
	}
	groups := 0
	for i := range s.Table.Config.Services {
		if svc := &s.Table.Config.Services[i]; svc.Engine != nil {
			groups += n.counts.of(svc.Name, len(s.View.Ready(svc.Name)))
		}
	}
	return groups <= 1
}

// teamsServed sums up what this router's homes gave to teams, in the teams' order.
func (n *Node) teamsServed(now boottime.Time) []dispatch.TeamUsage {
	all := map[string]dispatch.Usage{}
	for _, g := range n.groups {
		for _, t := range g.core.UsageReport(time.Duration(now)) {
			all[t.Team] = dispatch.Usage{}
		}
	}
	out := make([]dispatch.TeamUsage, 0, len(all))
	for team := range all {
		out = append(out, dispatch.TeamUsage{Team: team, Usage: n.servedBy(now, team, nil)})
	}
	slices.SortFunc(out, func(a, b dispatch.TeamUsage) int { return strings.Compare(a.Team, b.Team) })
	return out
}

// servedBy is what this router's homes gave to a team, all but one.
func (n *Node) servedBy(now boottime.Time, team string, but *group) dispatch.Usage {
	var got dispatch.Usage
	for _, g := range n.groups {
		if g == but {
			continue
		}
		served := g.core.LocalUsage(time.Duration(now), team)
		got.Window += served.Window
		got.Recent += served.Recent
	}
	return got
}

// sendTally tells a hub, nil for this router, what teams got from this router's homes.
func (n *Node) sendTally(now boottime.Time, hub *member, teams []teamGot) {
	if hub == nil {
		n.takeOthers(now, n.addUp(now, n.self, teams))
		return
	}
	for part := range slices.Chunk(teams, teamsInTally) {
		n.send(hub.addr, &packet{Infrequent: &infrequent{Tally: &tally{Teams: part}}})
	}
}

// takeTally takes in a peer's tally, or the answer to one.
func (n *Node) takeTally(now boottime.Time, from uint64, t *tally) {
	m := n.members[from]
	if m == nil || len(t.Teams) > teamsInTally {
		return
	}
	if t.Return {
		n.takeOthers(now, t.Teams)
		return
	}
	if others := n.addUp(now, from, t.Teams); len(others) > 0 {
		n.send(m.addr, &packet{Infrequent: &infrequent{Tally: &tally{Return: true, Teams: others}}})
	}
}

// addUp notes what a router's homes gave to teams, and returns what all others did.
func (n *Node) addUp(now boottime.Time, router uint64, teams []teamGot) []teamGot {
	others := make([]teamGot, 0, len(teams))
	for i := range teams {
		t := &teams[i]
		l := n.ledgers[tallyPart(t.Team)]
		l.Record(time.Duration(now), router, t.Team, t.got())
		if got, ok := l.RemoteUsage(time.Duration(now), router, t.Team); ok {
			others = append(others, newTeamGot(t.Team, got))
		}
	}
	return others
}

// takeOthers takes in what teams got from the homes of other routers.
func (n *Node) takeOthers(now boottime.Time, teams []teamGot) {
	for i := range teams {
		t := &teams[i]
		others := t.got()
		for _, g := range n.groups {
			own := n.servedBy(now, t.Team, g)
			g.core.SetRemoteUsage(time.Duration(now), t.Team, dispatch.Usage{
				Window: others.Window + own.Window, Recent: others.Recent + own.Recent,
			})
		}
	}
}

func newTeamGot(team string, got dispatch.Usage) teamGot {
	return teamGot{Team: team, Window: float32(got.Window), Lately: float32(got.Recent)}
}

// got is what a peer told of a team. Numbers that can't be tokens count as nothing: they
// would spoil the shares of all teams.
func (t *teamGot) got() dispatch.Usage {
	return dispatch.Usage{Window: toldTokens(t.Window), Recent: toldTokens(t.Lately)}
}

// mostTold is above what any team gets within a share's window.
const mostTold = 1e12

func toldTokens(told float32) float64 {
	if tokens := float64(told); tokens > 0 && tokens < mostTold {
		return tokens
	}
	return 0
}
