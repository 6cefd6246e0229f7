package gateway

import (
	"net/http"
	"sync"
	"time"

	"github.com/aspenswitch/aspenswitch/dispatch"
	"github.com/aspenswitch/aspenswitch/limits"
	"github.com/aspenswitch/aspenswitch/routing"
)

// shedder is a limits.Shedder that is safe for concurrent use.
type shedder struct {
	mu      sync.Mutex
	shedder *limits.Shedder
}

func newShedder(cfg limits.ShedConfig) *shedder {
	return &shedder{shedder: limits.NewShedder(cfg)}
}

// withLock calls do with the mutex held.
func (s *shedder) withLock(do func(*limits.Shedder)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	do(s.shedder)
}

// codeOverShare is the refusal code for teams that have used up their share.
const codeOverShare = "over_share"

// overShareRefusal returns a refusal with status 429 for teams that have used up their share.
func overShareRefusal(retryAfter time.Duration) *refusal {
	refused := notRun(codeOverShare, "the team has had its share; the request was not run", retryAfter)
	refused.status = http.StatusTooManyRequests
	return refused
}

// shed refuses a request without asking the home if this router is too overloaded to ask,
// or if the team has used up the rate that the home allows it. It returns nil if the home
// must decide.
func (s *Server) shed(r *request) *refusal {
	lag := s.placer.Lag()
	request := s.placementRequest(r, dispatch.Ticket{}, r.tried)
	arrival := limits.Arrival{
		Share:  limits.ShareKey{Service: r.service, Group: s.placer.Group(r.service, request), Team: r.teamName()},
		Tokens: dispatch.ChargedTokens(&request), Streaming: r.route.Kind == routing.Streaming, Lag: lag,
	}
	var verdict limits.Verdict
	s.shedder.withLock(func(t *limits.Shedder) { verdict = t.Check(time.Since(s.start), arrival) })
	if verdict.Reason == limits.NotShed {
		return nil
	}
	r.record.lag = lag
	s.counts.shed.Add(1)
	s.placer.ReportShed(r.service, request)
	if verdict.Reason == limits.Overloaded {
		s.teams.update(r.teamName(), func(l *TeamLoad) { l.RouterOverloaded++ })
		return busyRefusal()
	}
	s.teams.countShed(r, verdict.AllowanceAge)
	return overShareRefusal(max(verdict.RetryAfter, minShedRetryAfter))
}

// minShedRetryAfter is the minimum Retry-After delay of requests that are refused without
// asking the home: a token bucket is refilled within some tenths of a second.
const minShedRetryAfter = 100 * time.Millisecond

// recordAllowance records the rate that a home allows the request's team.
func (s *Server) recordAllowance(r *request, d dispatch.Decision) {
	if d.Allowance == 0 {
		return
	}
	key := limits.ShareKey{Service: r.service, Group: d.Group, Team: r.teamName()}
	var retryAfter time.Duration
	if d.OverShare {
		retryAfter = d.RetryAfter
	}
	s.shedder.withLock(func(t *limits.Shedder) { t.UpdateRate(time.Since(s.start), key, d.Allowance, retryAfter) })
}

// busyRefusal returns a refusal with a minimal Retry-After delay. Another router can serve the
// request if the load balancer sends the retry there.
func busyRefusal() *refusal {
	return notRun(codeRouterBusy, "this router is behind with its work; the request was not run", minRetryAfter)
}

// leavingRetryAfter is the Retry-After delay of a router that leaves the load balancer. New connections
// go to other routers one to two seconds after it has left: at least half of the callers that wait for
// a second reach them, and they come as evenly as they were refused. A caller that comes back sooner meets
// this router again.
const leavingRetryAfter = time.Second

// leavingRefusal is the refusal of a connection by an overloaded router that leaves the load balancer.
func leavingRefusal() *refusal {
	r := busyRefusal()
	r.retryAfter = leavingRetryAfter
	return r
}
