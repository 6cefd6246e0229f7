package gateway

import (
	"net/http"
	"sync"
	"time"

	"github.com/aspenswitch/aspenswitch/dispatch"
	"github.com/aspenswitch/aspenswitch/limits"
	"github.com/aspenswitch/aspenswitch/routing"
)

// shedder is limits.Shedder for many goroutines.
type shedder struct {
	mu sync.Mutex
	s  *limits.Shedder
}

func newShedder(cfg limits.ShedConfig) *shedder {
	return &shedder{s: limits.NewShedder(cfg)}
}

// with runs a function on the shedder.
func (s *shedder) with(do func(*limits.Shedder)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	do(s.s)
}

// overShare is the code of refusals of teams that have had their share.
const overShare = "over_share"

// overShareRefusal is for teams that have had their share.
func overShareRefusal(after time.Duration) *refusal {
	no := notRun(overShare, "the team has had its share; the request was not run", after)
	no.status = http.StatusTooManyRequests
	return no
}

// shed refuses what this router can't or needn't ask a home for.
func (s *Server) shed(r *request) *refusal {
	lag := s.placer.Lag()
	ask := s.ask(r, dispatch.Ticket{}, r.tried)
	arrival := limits.Arrival{
		Share:  limits.ShareKey{Service: r.service, Group: s.placer.Group(r.service, ask), Team: r.teamName()},
		Tokens: dispatch.ChargedTokens(&ask), Streaming: r.route.Kind == routing.Streaming, Lag: lag,
	}
	var verdict limits.Verdict
	s.shedder.with(func(t *limits.Shedder) { verdict = t.Arrived(time.Since(s.start), arrival) })
	if verdict.Shed == limits.Ask {
		return nil
	}
	r.record.lag = lag
	s.counts.shed.Add(1)
	s.placer.Shed(r.service, ask)
	if verdict.Shed == limits.Busy {
		s.teams.note(r.teamName(), func(l *TeamLoad) { l.Busy++ })
		return busyRefusal()
	}
	s.teams.shed(r, verdict.Age)
	return overShareRefusal(max(verdict.After, shedRetryAfter))
}

// shedRetryAfter is the least that callers are told who are refused without asking: a
// bucket of allowances is filled anew within some tenths of a second.
const shedRetryAfter = 100 * time.Millisecond

// told takes in what a home allows the request's team.
func (s *Server) told(r *request, d dispatch.Decision) {
	if d.Allowance == 0 {
		return
	}
	key := limits.ShareKey{Service: r.service, Group: d.Group, Team: r.teamName()}
	var after time.Duration
	if d.OverShare {
		after = d.RetryAfter
	}
	s.shedder.with(func(t *limits.Shedder) { t.Told(time.Since(s.start), key, d.Allowance, after) })
}

// busyRefusal tells a caller to come back at once. Another router can serve it, if the
// balancer sends second tries elsewhere.
func busyRefusal() *refusal {
	return notRun("router_busy", "this router is behind with its work; the request was not run", minRetryAfter)
}
