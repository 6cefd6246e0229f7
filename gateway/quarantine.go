package gateway

import (
	"net/http"
	"slices"
	"time"

	"github.com/aspenswitch/aspenswitch/dispatch"
	"github.com/aspenswitch/aspenswitch/quarantine"
	"github.com/aspenswitch/aspenswitch/retry"
)

// sharedParts returns the parts of the prompt that other requests may have too: all but the last,
// which belongs to this request or its session.
func (r *request) sharedParts() []dispatch.Part {
	if len(r.parts) == 0 || r.morePartsThanRead {
		return r.parts
	}
	return r.parts[:len(r.parts)-1]
}

// interruption describes the request for a report that its upstream closed the connection. What
// may have made it crash the upstream are its content and, unless its answer had started, the
// shared parts of its prompt.
func (r *request) interruption() quarantine.Interruption {
	keys := []quarantine.Key{r.ensureContentKey()}
	if !r.answerStarted {
		for _, part := range r.sharedParts() {
			keys = append(keys, quarantine.NewPartKey(part.ID))
		}
	}
	trialOf := slices.DeleteFunc(slices.Clone(r.trialOf), func(k quarantine.Key) bool { return !slices.Contains(keys, k) })
	return quarantine.Interruption{Keys: keys, TrialOf: trialOf, Team: r.teamName()}
}

// quarantineStatus returns the most severe status of a request's keys, and the keys that are in
// quarantine. The content is hashed only while some content has crashes.
func (s *Server) quarantineStatus(r *request) (status quarantine.Status, quarantined []quarantine.Key) {
	view := s.placer.Quarantine()
	add := func(key quarantine.Key) {
		of := view.Status(key)
		status = max(status, of)
		if of == quarantine.Quarantined && !slices.Contains(quarantined, key) {
			quarantined = append(quarantined, key)
		}
	}
	if view.HasContents() {
		add(r.ensureContentKey())
	}
	if view.HasParts() {
		for _, part := range r.sharedParts() {
			add(quarantine.NewPartKey(part.ID))
		}
	}
	return status, quarantined
}

// refuseQuarantined rejects a request whose content or a part of whose prompt is in quarantine,
// unless it may be sent as a trial. It answers 502 without Retry-After, so that callers don't
// repeat non-repeatable requests; the body states that the request was not run.
func (s *Server) refuseQuarantined(r *request) *refusal {
	s.placer.AwaitQuarantine(r.ctx)
	_, keys := s.quarantineStatus(r)
	if len(keys) == 0 || s.mayTry(r, keys) {
		return nil
	}
	s.stats.quarantined.Inc(1)
	message := "upstreams crashed while they ran this request; it isn't sent any more and was not run"
	if keys[0].Part {
		r.record.part = keys[0].String()
		message = "upstreams crashed while they ran prompts with the part " + r.record.part + "; the request isn't sent and was not run"
	} else {
		r.record.content = keys[0].String()
	}
	return &refusal{status: http.StatusBadGateway, outcome: retry.NotRun, code: "quarantined", message: message}
}

// mayTry reports whether a request with quarantined keys may be sent as a trial of all of them.
// Only a first attempt can be one.
func (s *Server) mayTry(r *request, keys []quarantine.Key) bool {
	if r.trialOf == nil && len(r.tried) == 0 && s.placer.RequestTrial(r.ctx, keys) {
		r.trialOf = keys
	}
	return r.trialOf != nil && !slices.ContainsFunc(keys, func(k quarantine.Key) bool { return !slices.Contains(r.trialOf, k) })
}

// isSuspect reports whether a request must not be retried because upstreams crashed while
// handling it: maxCrashesPerRequest of them, or any if its status isn't Normal.
func (s *Server) isSuspect(r *request) bool {
	if r.crashes == 0 || r.crashes >= maxCrashesPerRequest {
		return r.crashes > 0
	}
	status, _ := s.quarantineStatus(r)
	return status != quarantine.Normal
}

// maxCrashesPerRequest prevents the retries of a single request from crashing more upstreams.
const maxCrashesPerRequest = 2

// reportSuccess reports a complete response. It is reported even if no content has crashes
// yet: a recent success clears content that many callers share when upstreams crash.
func (s *Server) reportSuccess(r *request) {
	r.trialResult = true
	if r.endUnconfirmed {
		s.placer.ReportUnconfirmedEnd(r.interruption(), r.sentTo, time.Since(r.sentAt))
		return
	}
	s.placer.ReportSuccess(r.ensureContentKey(), r.sentTo)
	s.reportStarted(r)
}

// reportStarted reports, once an attempt, that the upstream has started to answer the prompt. One
// event doesn't show it: an upstream that crashes on a part may have sent it before.
func (s *Server) reportStarted(r *request) {
	if r.answerStarted {
		return
	}
	r.answerStarted = true
	if parts := r.sharedParts(); len(parts) > 0 {
		s.placer.ReportStarted(parts, r.sentTo)
	}
}

// eventsOfStartedAnswer is the number of events after which the answer of a stream has started.
const eventsOfStartedAnswer = 2
