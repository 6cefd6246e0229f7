package gateway

import (
	"context"
	"errors"
	"net/http"

	"github.com/aspenswitch/aspenswitch/dispatch"
)

// unplaced is the answer when placing ended without a decision.
func (s *Server) unplaced(r *request, err error) *refusal {
	r.record.cause = err.Error()
	if errors.Is(context.Cause(r.ctx), errStopping) {
		return notRun("stopping", "this router is stopping; the request was not run", minRetryAfter)
	}
	if len(r.tried) > 0 && !r.route.Repeatable() {
		return noAnswer(r)
	}
	if errors.Is(err, context.Canceled) {
		return notRun("caller_left", "the caller left before its request was sent", 0)
	}
	return notRun("not_placed", "no upstream could take the request in time", retryLater)
}

// noAnswer is for a request that was sent and is given up: its time is over, this
// router's is, or its caller has left and only the log is told.
func noAnswer(r *request) *refusal {
	switch cause := context.Cause(r.ctx); {
	case errors.Is(cause, errStopping):
		return unknown(http.StatusGatewayTimeout, "stopping", "this router is stopping and no answer has come; the request may have run")
	case cause != nil:
		return unknown(http.StatusGatewayTimeout, "caller_left", "the caller left before an answer came; the request may have run")
	}
	return unknown(http.StatusGatewayTimeout, "deadline", "no answer came in time; the request may have run")
}

// refuse tells the caller when to come back.
func (s *Server) refuse(r *request, d dispatch.Decision) *refusal {
	if d.OverShare {
		s.teams.note(r.teamName(), func(l *TeamLoad) { l.OverShare++ })
		return overShareRefusal(d.RetryAfter)
	}
	if d.RouterOverloaded {
		s.teams.note(r.teamName(), func(l *TeamLoad) { l.Busy++ })
		return busyRefusal()
	}
	s.teams.note(r.teamName(), func(l *TeamLoad) { l.NoRoom++ })
	return notRun("no_room", "no upstream can answer in time; the request was not run", d.RetryAfter)
}
