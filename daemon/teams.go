package daemon

import (
	"context"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/aspenswitch/aspenswitch/gateway"
)

const (
	// teamsEvery is the time between two tellings of teams' loads. Users compare what
	// teams got second by second.
	teamsEvery = time.Second
	// teamsTold is how many teams a telling names: more than flood one router at once.
	teamsTold = 5
	// mostTeamMetrics bounds the teams that have counters of their own, at some 4 KB a
	// team; later ones share one.
	mostTeamMetrics = 16
	// otherTeams is the name of the counters that they share.
	otherTeams = "other"
)

// tellTeams writes what became of the requests of teams that are refused, and counts it.
// A flood ends within seconds: without these lines nobody could tell afterwards whether
// a team was refused by its share at a home, or by a router that was at its end.
func (d *FleetDaemon) tellTeams(ctx context.Context) {
	ticker := time.NewTicker(teamsEvery)
	defer ticker.Stop()
	counters := teamCounters{scope: d.metrics.Scope, teams: map[string]*teamCounter{}}
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		lag := d.node.Lag()
		for _, l := range d.gateway.TakeTeamLoads(teamsTold) {
			counters.add(&l)
			d.log.Info().Str("event", "team").Str("team", l.Team).Int("asked", l.Received).Int64("asked_tokens", int64(l.ReceivedTokens)).
				Int("sent", l.Sent).Int64("sent_tokens", int64(l.SentTokens)).Int("begun", l.Started).Int64("begun_tokens", int64(l.StartedTokens)).Int("over_share", l.OverShare).Int("no_room", l.NoCapacity).
				Int("shed", l.Shed).Int64("shed_age_ms", l.ShedAge.Milliseconds()).Int("busy", l.RouterBusy).Int("full", l.RouterFull).
				Int64("lag_ms", lag.Milliseconds()).Msg("a team's requests")
		}
	}
}

// teamCounters are counters by team.
type teamCounters struct {
	scope tally.Scope
	teams map[string]*teamCounter
}

// teamCounter are one team's, by what was decided.
type teamCounter struct {
	asked, sent, begun, overShare, noRoom, shed, busy, full, askedTokens, sentTokens, begunTokens tally.Counter
}

func (c *teamCounters) of(team string) *teamCounter {
	if len(c.teams) >= mostTeamMetrics && c.teams[team] == nil {
		team = otherTeams
	}
	if found := c.teams[team]; found != nil {
		return found
	}
	counter := func(name, decision string) tally.Counter {
		return c.scope.Tagged(map[string]string{"team": team, "decision": decision}).Counter(name)
	}
	t := &teamCounter{
		asked: counter("team_requests", "asked"), sent: counter("team_requests", "sent"),
		begun: counter("team_requests", "begun"), overShare: counter("team_requests", "over_share"), noRoom: counter("team_requests", "no_room"),
		shed: counter("team_requests", "shed"), busy: counter("team_requests", "busy"), full: counter("team_requests", "full"),
		askedTokens: counter("team_tokens", "asked"), sentTokens: counter("team_tokens", "sent"), begunTokens: counter("team_tokens", "begun"),
	}
	c.teams[team] = t
	return t
}

func (c *teamCounters) add(l *gateway.TeamLoad) {
	t := c.of(l.Team)
	t.asked.Inc(int64(l.Received))
	t.sent.Inc(int64(l.Sent))
	t.begun.Inc(int64(l.Started))
	t.overShare.Inc(int64(l.OverShare))
	t.noRoom.Inc(int64(l.NoCapacity))
	t.shed.Inc(int64(l.Shed))
	t.busy.Inc(int64(l.RouterBusy))
	t.full.Inc(int64(l.RouterFull))
	t.askedTokens.Inc(int64(l.ReceivedTokens))
	t.sentTokens.Inc(int64(l.SentTokens))
	t.begunTokens.Inc(int64(l.StartedTokens))
}
