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
	return &shedder{s: limits.NewShedder(cfg, limits.DefaultThrottleConfig())}
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
	now := time.Since(s.start)
	team := r.teamName()
	lag := s.placer.Lag()
	var verdict limits.Shed
	var after, age time.Duration
	s.shedder.with(func(t *limits.Shedder) {
		verdict, after = t.Arrived(now, team, r.route.Kind == routing.Streaming, lag)
		age = t.Age(now, team)
	})
	if verdict == limits.Ask {
		return nil
	}
	r.record.lag = lag
	s.counts.shed.Add(1)
	s.placer.Shed(r.service, s.ask(r, dispatch.Ticket{}))
	if verdict == limits.Busy {
		s.teams.note(team, func(l *TeamLoad) { l.Busy++ })
		return busyRefusal()
	}
	s.teams.shed(r, age)
	return overShareRefusal(after)
}

// busyRefusal sends a caller to another router, which can serve it at once.
func busyRefusal() *refusal {
	return notRun("router_busy", "this router is behind with its work; the request was not run", minRetryAfter)
}
