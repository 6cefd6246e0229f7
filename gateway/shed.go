package gateway

import (
	"net/http"
	"sync"
	"time"

	"github.com/aspenswitch/aspenswitch/dispatch"
	"github.com/aspenswitch/aspenswitch/limits"
	"github.com/aspenswitch/aspenswitch/routing"
)

// throttle is limits.Throttle for many goroutines.
type throttle struct {
	mu sync.Mutex
	t  *limits.Throttle
}

func newThrottle() *throttle {
	return &throttle{t: limits.NewThrottle(limits.DefaultThrottleConfig())}
}

// with runs a function on the throttle.
func (t *throttle) with(do func(*limits.Throttle)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	do(t.t)
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
//
// Callers of one team often share a few routers. When such a team floods, its
// routers' processors are the first to give out; then every request there waits,
// heartbeats are lost, and the router's view grows stale. Refusing the flood at
// once keeps the rest served. Measured on a day of 86 VMs with a team at twelve
// times its usual: one router of 0.19 cores got 2,000 requests a second, could ask
// for a third of them, and what it served came 0.1 to 1 s late.
func (s *Server) shed(r *request) *refusal {
	now := time.Since(s.start)
	team := r.teamName()
	lag := s.placer.Lag()
	behind := lag >= s.cfg.ShedLag
	var refused *refusal
	var age time.Duration
	s.throttle.with(func(t *limits.Throttle) {
		ok, after := t.Arrived(now, team)
		lately, _ := t.RefusedLately(now, team)
		age = t.Age(now, team)
		switch {
		case !ok, behind && lately:
			refused = overShareRefusal(after)
		case behind && t.Heavy(now, team) && r.route.Kind == routing.Streaming:
			refused = busyRefusal()
		}
	})
	if refused == nil && lag > s.cfg.ShedAll && r.route.Kind == routing.Streaming {
		refused = busyRefusal()
	}
	if refused != nil {
		r.record.lag = lag
		s.counts.shed.Add(1)
		if refused.code == overShare {
			s.teams.shed(r, age)
		} else {
			s.teams.note(team, func(l *TeamLoad) { l.Busy++ })
		}
		s.placer.Shed(r.service, s.ask(r, dispatch.Ticket{}))
	}
	return refused
}

// busyRefusal sends a caller to another router, which can serve it at once.
func busyRefusal() *refusal {
	return notRun("router_busy", "this router is behind with its work; the request was not run", minRetryAfter)
}
