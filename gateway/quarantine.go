package gateway

import (
	"net/http"

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

// crashKeys returns what may have made the request crash its upstream: its content and, unless its
// answer had started, the shared parts of its prompt.
func (r *request) crashKeys() []quarantine.Key {
	keys := []quarantine.Key{r.ensureContentKey()}
	if r.answerStarted {
		return keys
	}
	for _, part := range r.sharedParts() {
		keys = append(keys, quarantine.NewPartKey(part.ID))
	}
	return keys
}

// held is what makes a request suspect or quarantined.
type held struct {
	// status is the most severe status of the request's keys, key the first key that has it, and
	// others the number of other keys that have it.
	status quarantine.Status
	key    quarantine.Key
	others int
}

func (h *held) add(key quarantine.Key, status quarantine.Status) {
	switch {
	case status == quarantine.Normal || status < h.status:
	case status > h.status:
		*h = held{status: status, key: key}
	case key != h.key:
		h.others++
	}
}

// quarantineStatus returns the status of a request. The content is hashed only while some content
// has crashes.
func (s *Server) quarantineStatus(r *request) held {
	var h held
	view := s.placer.Quarantine()
	if view.HasContents() {
		key := r.ensureContentKey()
		h.add(key, view.Status(key))
	}
	if view.HasParts() {
		for _, part := range r.sharedParts() {
			key := quarantine.NewPartKey(part.ID)
			h.add(key, view.Status(key))
		}
	}
	return h
}

// refuseQuarantined rejects a request whose content or a part of whose prompt is in quarantine,
// unless it may be sent as a trial. It answers 502 without Retry-After, so that callers don't
// repeat non-repeatable requests; the body states that the request was not run.
func (s *Server) refuseQuarantined(r *request) *refusal {
	h := s.quarantineStatus(r)
	if h.status != quarantine.Quarantined {
		return nil
	}
	if s.mayTry(r, h) {
		return nil
	}
	s.stats.quarantined.Inc(1)
	message := "upstreams crashed while they ran this request; it isn't sent any more and was not run"
	if h.key.Part {
		r.record.part = h.key.String()
		message = "upstreams crashed while they ran prompts with the part " + r.record.part + "; the request isn't sent and was not run"
	} else {
		r.record.content = h.key.String()
	}
	return &refusal{status: http.StatusBadGateway, outcome: retry.NotRun, code: "quarantined", message: message}
}

// mayTry reports whether a quarantined request may be sent as a trial. Only a first attempt can be
// one, and only for a single key: the result would show nothing of the others.
func (s *Server) mayTry(r *request, h held) bool {
	if h.others > 0 {
		return false
	}
	if r.trialOf != nil {
		return *r.trialOf == h.key
	}
	if len(r.tried) > 0 || !s.placer.RequestTrial(r.ctx, h.key) {
		return false
	}
	r.trialOf = &h.key
	return true
}

// isSuspect reports whether a request must not be retried because upstreams crashed while
// handling it: maxCrashesPerRequest of them, or any if its status isn't Normal.
func (s *Server) isSuspect(r *request) bool {
	return r.crashes >= maxCrashesPerRequest || r.crashes > 0 && s.quarantineStatus(r).status != quarantine.Normal
}

// maxCrashesPerRequest prevents the retries of a single request from crashing more upstreams.
const maxCrashesPerRequest = 2

// reportSuccess reports a complete response. It is reported even if no content has crashes
// yet: a recent success clears content that many callers share when upstreams crash.
func (s *Server) reportSuccess(r *request) {
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
