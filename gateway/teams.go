package gateway

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// TeamLoad counts a team's requests at this router within an interval, by outcome.
type TeamLoad struct {
	Team string
	// Received counts the requests that were read, Sent those that were sent to an
	// upstream, and Started those whose response started. The token fields are their cost
	// in the team's share.
	Received, Sent, Started                   int
	ReceivedTokens, SentTokens, StartedTokens float64
	// OverShare and NoCapacity count refusals by homes. Shed counts requests above the
	// share that were refused without asking a home, RouterOverloaded refusals because this
	// router was overloaded, RouterFull refusals because it had reached its request limit.
	OverShare, NoCapacity, Shed, RouterOverloaded, RouterFull int
	// ShedAge is the maximum age of a home's decision on which a request was shed.
	ShedAge time.Duration
}

// Refused returns the number of requests that were refused for lack of capacity or share.
func (l *TeamLoad) Refused() int {
	return l.OverShare + l.NoCapacity + l.Shed + l.RouterOverloaded + l.RouterFull
}

// teamLoads collects the TeamLoads of the current interval. It is safe for concurrent use.
type teamLoads struct {
	mu    sync.Mutex
	teams map[string]*TeamLoad
}

// maxTeamLoads limits the memory, at about 120 bytes per team. Requests of further teams
// are not counted until the next interval.
const maxTeamLoads = 4096

// update calls change with the team's load.
func (t *teamLoads) update(team string, change func(*TeamLoad)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.teams[team]
	if l == nil {
		if len(t.teams) >= maxTeamLoads {
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

// take returns the loads of at most limit teams that had a request refused, ordered by
// requested tokens, and starts a new interval.
func (t *teamLoads) take(limit int) []TeamLoad {
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
	return refused[:min(limit, len(refused))]
}

// countReceived counts a request that was read.
func (t *teamLoads) countReceived(r *request) {
	t.update(r.teamName(), func(l *TeamLoad) {
		l.Received++
		l.ReceivedTokens += r.tokens()
	})
}

// countSent counts a request that is sent to an upstream.
func (t *teamLoads) countSent(r *request) {
	t.update(r.teamName(), func(l *TeamLoad) {
		l.Sent++
		l.SentTokens += r.tokens()
	})
}

// countStarted counts a request whose response has started.
func (t *teamLoads) countStarted(r *request) {
	t.update(r.teamName(), func(l *TeamLoad) {
		l.Started++
		l.StartedTokens += r.tokens()
	})
}

// countShed counts a request that was refused without asking the home, based on a decision of
// the given age.
func (t *teamLoads) countShed(r *request, age time.Duration) {
	t.update(r.teamName(), func(l *TeamLoad) {
		l.Shed++
		l.ShedAge = max(l.ShedAge, age)
	})
}
