package daemon

import (
	"context"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/aspenswitch/aspenswitch/gateway"
)

const (
	// teamLogInterval is the time between two reports of the teams' loads. Users compare what
	// teams got second by second.
	teamLogInterval = time.Second
	// maxLoggedTeams is the maximum number of teams in a report. Fewer teams than that flood
	// one router at the same time.
	maxLoggedTeams = 5
	// maxTeamMetrics is the maximum number of teams with counters of their own, which take
	// about 4 KB per team. All later teams share one set of counters.
	maxTeamMetrics = 16
	// otherTeamsTag is the team tag of the shared counters.
	otherTeamsTag = "other"
)

// logTeams logs and counts the outcomes of requests of teams that had requests refused. A flood
// ends within seconds; without these lines it would be unknown afterwards whether a team was
// refused because of its share at a home, or because a router was overloaded.
func (d *FleetDaemon) logTeams(ctx context.Context) {
	ticker := time.NewTicker(teamLogInterval)
	defer ticker.Stop()
	counters := teamCounters{scope: d.metrics.Scope, teams: map[string]*teamCounter{}}
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		lag := d.node.Lag()
		for _, l := range d.gateway.TakeTeamLoads(maxLoggedTeams) {
			counters.add(&l)
			d.log.Info().Str("event", "team").Str("team", l.Team).Int("asked", l.Received).Int64("asked_tokens", int64(l.ReceivedTokens)).
				Int("sent", l.Sent).Int64("sent_tokens", int64(l.SentTokens)).Int("begun", l.Started).Int64("begun_tokens", int64(l.StartedTokens)).Int("over_share", l.OverShare).Int("no_room", l.NoCapacity).
				Int("shed", l.Shed).Int64("shed_age_ms", l.ShedAge.Milliseconds()).Int("busy", l.RouterOverloaded).Int("full", l.RouterFull).
				Int64("lag_ms", lag.Milliseconds()).Msg("team request counts")
		}
	}
}

// teamCounters holds the counters of each team.
type teamCounters struct {
	scope tally.Scope
	teams map[string]*teamCounter
}

// teamCounter holds the counters of one team, one for each decision.
type teamCounter struct {
	received, sent, started, overShare, noCapacity, shed, routerBusy, routerFull, receivedTokens, sentTokens, startedTokens tally.Counter
}

// counterFor returns the counters of a team, or the shared ones if there are too many teams.
func (c *teamCounters) counterFor(team string) *teamCounter {
	if len(c.teams) >= maxTeamMetrics && c.teams[team] == nil {
		team = otherTeamsTag
	}
	if found := c.teams[team]; found != nil {
		return found
	}
	counter := func(name, decision string) tally.Counter {
		return c.scope.Tagged(map[string]string{"team": team, "decision": decision}).Counter(name)
	}
	t := &teamCounter{
		received: counter("team_requests", "asked"), sent: counter("team_requests", "sent"),
		started: counter("team_requests", "begun"), overShare: counter("team_requests", "over_share"), noCapacity: counter("team_requests", "no_room"),
		shed: counter("team_requests", "shed"), routerBusy: counter("team_requests", "busy"), routerFull: counter("team_requests", "full"),
		receivedTokens: counter("team_tokens", "asked"), sentTokens: counter("team_tokens", "sent"), startedTokens: counter("team_tokens", "begun"),
	}
	c.teams[team] = t
	return t
}

func (c *teamCounters) add(l *gateway.TeamLoad) {
	t := c.counterFor(l.Team)
	t.received.Inc(int64(l.Received))
	t.sent.Inc(int64(l.Sent))
	t.started.Inc(int64(l.Started))
	t.overShare.Inc(int64(l.OverShare))
	t.noCapacity.Inc(int64(l.NoCapacity))
	t.shed.Inc(int64(l.Shed))
	t.routerBusy.Inc(int64(l.RouterOverloaded))
	t.routerFull.Inc(int64(l.RouterFull))
	t.receivedTokens.Inc(int64(l.ReceivedTokens))
	t.sentTokens.Inc(int64(l.SentTokens))
	t.startedTokens.Inc(int64(l.StartedTokens))
}
