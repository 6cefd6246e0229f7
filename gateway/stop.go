package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/aspenswitch/aspenswitch/limits"
)

// errTooLateToBegin is the cancellation cause of a placement by a stopping router whose request could not
// end within the grace any more.
var errTooLateToBegin = errors.New("gateway: the request can't be expected to end before the router has stopped")

// beginWithin returns how long a request may still wait until it is sent, false if this server isn't
// stopping, or isn't limited in time.
func (s *Server) beginWithin(r *request) (left time.Duration, limited bool) {
	abortAt := time.Duration(s.abortAt.Load())
	if abortAt == 0 {
		return 0, false
	}
	runTime, known := s.runTimes.expected(r.route.Name)
	return limits.BeginWithin(abortAt-time.Since(s.start), time.Until(r.deadline), runTime, known), true
}

// unfinishable reports whether a request can't be expected to end before this server has stopped.
func (s *Server) unfinishable(r *request) bool {
	left, limited := s.beginWithin(r)
	return limited && left <= 0
}

// refuseUnfinishable refuses a request that can't be expected to end before this server has stopped.
func (s *Server) refuseUnfinishable(r *request) *refusal {
	if !s.unfinishable(r) {
		return nil
	}
	s.stats.unfinishable.Inc(1)
	return stoppingRefusal(r)
}

// stoppingRefusal returns the refusal of a stopping server for a request that it hasn't sent. Another router
// can serve it at once.
func stoppingRefusal(r *request) *refusal {
	refused := notRun("stopping", "this router is stopping; the request was not run", minRetryAfter)
	refused.bodyUnread = r.in.ContentLength != 0 && r.complete.Equal(r.arrived)
	return refused
}

// placementContext returns a context for a placement. It ends when the request can't be expected to end
// before this server has stopped.
func (s *Server) placementContext(ctx context.Context, r *request) (placement context.Context, cancel func()) {
	placement, end := context.WithCancelCause(ctx)
	stop := context.AfterFunc(s.stopping, func() {
		left, _ := s.beginWithin(r)
		timer := time.AfterFunc(left, func() { end(errTooLateToBegin) })
		context.AfterFunc(placement, func() { timer.Stop() })
	})
	return placement, func() {
		stop()
		end(nil)
	}
}
