package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/aspenswitch/aspenswitch/dispatch"
)

// placementFailed returns the refusal for a placement that ended without a decision.
func (s *Server) placementFailed(r *request, err error) *refusal {
	r.record.cause = err.Error()
	if errors.Is(context.Cause(r.ctx), errStopping) {
		return notRun("stopping", "this router is stopping; the request was not run", minRetryAfter)
	}
	if len(r.tried) > 0 && !r.route.Repeatable() {
		return noResponse(r)
	}
	if errors.Is(err, context.Canceled) {
		return notRun("caller_left", "the caller left before its request was sent", 0)
	}
	return notRun("not_placed", "no upstream could take the request in time", defaultRetryAfter)
}

// noResponse returns the refusal for a request that was sent and then abandoned: its
// deadline has passed, this router is shutting down, or the caller has disconnected. In the
// last case the refusal only appears in the log.
func noResponse(r *request) *refusal {
	switch cause := context.Cause(r.ctx); {
	case errors.Is(cause, errStopping):
		return unknownOutcome(http.StatusGatewayTimeout, "stopping", "this router is stopping and no answer has come; the request may have run")
	case cause != nil:
		return unknownOutcome(http.StatusGatewayTimeout, "caller_left", "the caller left before an answer came; the request may have run")
	}
	return unknownOutcome(http.StatusGatewayTimeout, "deadline", "no answer came in time; the request may have run")
}

// staleViewRefusal returns the refusal of a request with a key by a router whose state is too old.
func staleViewRefusal() *refusal {
	return notRun("stale_view", "this router's view of the keys is too old to decide", time.Second)
}

// placementRefused converts a refusal by the home, with its Retry-After delay.
func (s *Server) placementRefused(r *request, d dispatch.Decision) *refusal {
	if d.StaleState {
		return staleViewRefusal()
	}
	if d.OverShare {
		s.teams.update(r.teamName(), func(l *TeamLoad) { l.OverShare++ })
		return overShareRefusal(d.RetryAfter)
	}
	if d.RouterOverloaded {
		s.teams.update(r.teamName(), func(l *TeamLoad) { l.RouterOverloaded++ })
		return busyRefusal()
	}
	s.teams.update(r.teamName(), func(l *TeamLoad) { l.NoCapacity++ })
	return notRun("no_room", "no upstream can answer in time; the request was not run", d.RetryAfter)
}
