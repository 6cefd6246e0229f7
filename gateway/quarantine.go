package gateway

import (
	"net/http"

	"github.com/aspenswitch/aspenswitch/quarantine"
	"github.com/aspenswitch/aspenswitch/retry"
)

// quarantineStatus returns the status of the request's content. The content is hashed only
// while some content has crashes.
func (s *Server) quarantineStatus(r *request) quarantine.Status {
	view := s.placer.Quarantine()
	if view.Empty() {
		return quarantine.Normal
	}
	return view.Status(r.ensureContentKey())
}

// refuseQuarantined rejects a request whose content is in quarantine, unless it may be sent
// as a trial. It answers 502 without Retry-After, so that callers don't repeat non-repeatable
// requests; the body states that the request was not run.
func (s *Server) refuseQuarantined(r *request) *refusal {
	if s.quarantineStatus(r) != quarantine.Quarantined || r.trial {
		return nil
	}
	// Only a first attempt can be a trial.
	if r.trial = len(r.tried) == 0 && s.placer.RequestTrial(r.ctx, r.contentKey); r.trial {
		return nil
	}
	r.record.content = r.contentKey.String()
	s.stats.quarantined.Inc(1)
	return &refusal{
		status: http.StatusBadGateway, outcome: retry.NotRun, code: "quarantined",
		message: "upstreams crashed while they ran this request; it isn't sent any more and was not run",
	}
}

// isSuspect reports whether a request must not be retried because upstreams crashed while
// handling it: maxCrashesPerRequest of them, or any if the status of its content isn't
// Normal.
func (s *Server) isSuspect(r *request) bool {
	return r.crashes >= maxCrashesPerRequest || r.crashes > 0 && s.quarantineStatus(r) != quarantine.Normal
}

// maxCrashesPerRequest prevents the retries of a single request from crashing more upstreams.
const maxCrashesPerRequest = 2

// reportSuccess reports a complete response. It is reported even if no content has crashes
// yet: a recent success clears content that many callers share when upstreams crash.
func (s *Server) reportSuccess(r *request) {
	s.placer.ReportSuccess(r.ensureContentKey(), r.sentTo)
}
