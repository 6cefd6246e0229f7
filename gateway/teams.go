package gateway

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// TeamLoad is what became of a team's requests at this router within a span.
type TeamLoad struct {
	Team string
	// Received are the team's requests that were read, Sent those that went to an
	// upstream, Started those whose answer began, with the tokens that they count in the
	// team's share.
	Received, Sent, Started                   int
	ReceivedTokens, SentTokens, StartedTokens float64
	// OverShare and NoCapacity were refused by homes. Shed were refused here as above the
	// share without asking a home, RouterBusy as this router was behind, RouterFull as it held as
	// many requests as it can.
	OverShare, NoCapacity, Shed, RouterBusy, RouterFull int
	// ShedAge is the age of the oldest home's decision on which one was shed.
	ShedAge time.Duration
}

// Refused is the number of requests that were refused for want of room or share.
func (l *TeamLoad) Refused() int {
	return l.OverShare + l.NoCapacity + l.Shed + l.RouterBusy + l.RouterFull
}

// teamLoads collects what became of teams' requests.
type teamLoads struct {
	mu    sync.Mutex
	teams map[string]*TeamLoad
}

// mostTeamLoads bounds the memory, at some 120 bytes a team. Requests of further teams
// aren't counted until the next span.
const mostTeamLoads = 4096

// note changes a team's load.
func (t *teamLoads) note(team string, change func(*TeamLoad)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.teams[team]
	if l == nil {
		if len(t.teams) >= mostTeamLoads {
			return
		}
		if t.teams == nil {
			t.teams = map[string]*TeamLoad{}
		}
		l = &TeamLoad{Team: team}
		t.teams[team] = l
	}
	change(l)
}

// take returns the loads of teams that were refused anything since the last call, the
// one that asked for most first, and begins a new span.
func (t *teamLoads) take(most int) []TeamLoad {
	t.mu.Lock()
	teams := t.teams
	t.teams = nil
	t.mu.Unlock()
	var refused []TeamLoad
	for _, l := range teams {
		if l.Refused() > 0 {
			refused = append(refused, *l)
		}
	}
	slices.SortFunc(refused, func(a, b TeamLoad) int {
		return cmp.Or(cmp.Compare(b.ReceivedTokens, a.ReceivedTokens), cmp.Compare(a.Team, b.Team))
	})
	return refused[:min(most, len(refused))]
}

// asked notes that a team's request was read.
func (t *teamLoads) asked(r *request) {
	t.note(r.teamName(), func(l *TeamLoad) {
		l.Received++
		l.ReceivedTokens += r.tokens()
	})
}

// sent notes that a team's request goes to an upstream.
func (t *teamLoads) sent(r *request) {
	t.note(r.teamName(), func(l *TeamLoad) {
		l.Sent++
		l.SentTokens += r.tokens()
	})
}

// begun notes that an upstream began to answer a team's request.
func (t *teamLoads) begun(r *request) {
	t.note(r.teamName(), func(l *TeamLoad) {
		l.Started++
		l.StartedTokens += r.tokens()
	})
}

// shed notes a request that was refused without asking, on a decision of that age.
func (t *teamLoads) shed(r *request, age time.Duration) {
	t.note(r.teamName(), func(l *TeamLoad) {
		l.Shed++
		l.ShedAge = max(l.ShedAge, age)
	})
}
