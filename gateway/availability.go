package gateway

import (
	"sync"
	"time"

	"github.com/aspenswitch/aspenswitch/availability"
	"github.com/aspenswitch/aspenswitch/dispatch"
	"github.com/aspenswitch/aspenswitch/obs"
	"github.com/aspenswitch/aspenswitch/registry"
)

// upstreamAvailability is an availability.Table that is safe for concurrent use.
type upstreamAvailability struct {
	start time.Time
	mu    sync.Mutex
	table *availability.Table
}

func newUpstreamAvailability() *upstreamAvailability {
	return &upstreamAvailability{start: time.Now(), table: availability.NewTable()}
}

// recordLeaving reports whether the upstream wasn't already marked as leaving.
func (a *upstreamAvailability) recordLeaving(upstream dispatch.Incarnation) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.table.RecordLeaving(time.Since(a.start), upstream)
}

func (a *upstreamAvailability) leaving(upstream dispatch.Incarnation) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.table.Leaving(time.Since(a.start), upstream)
}

func (a *upstreamAvailability) recordRetryAfter(upstream dispatch.Incarnation, delay time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.table.RecordRetryAfter(time.Since(a.start), upstream, delay)
}

func (a *upstreamAvailability) retryAfter(upstream dispatch.Incarnation) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.table.RetryAfter(time.Since(a.start), upstream)
}

func (a *upstreamAvailability) unavailable() []availability.Unavailable {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.table.Unavailable(time.Since(a.start))
}

// handleNotice records an upstream's Retry-After delay and its leaving notice, and reports a
// new leaving notice to the placer.
func (s *Server) handleNotice(r *request, notice upstreamNotice) {
	if notice.retryAfter > 0 {
		s.availability.recordRetryAfter(r.sentTo, notice.retryAfter)
	}
	if notice.leaving && s.availability.recordLeaving(r.sentTo) {
		s.log.Info("upstream_leaving", func(e *obs.Event) {
			e.Str("upstream", r.sentTo.ID).Int64("started", r.sentTo.Started).Str("request", r.id).Msg("upstream reported that it is shutting down")
		})
		s.placer.ReportLeaving(r.service, r.sentTo)
	}
}

// refuseLeaving checks, at the moment of sending, that the upstream has not sent this router
// a leaving notice. The home that chose the upstream may not have received the notice, and
// even a newer view of the platform may not show yet that the upstream is leaving.
func (s *Server) refuseLeaving(r *request, u *registry.Upstream) *refusal {
	at := incarnation(u)
	if !s.availability.leaving(at) {
		return nil
	}
	s.placer.ReportLeaving(r.service, at)
	r.record.cause = "upstream " + u.ID + " is leaving"
	return notRun("upstream_left", "the upstream leaves; the request was not run", defaultRetryAfter)
}

// refuseRetryAfter checks, at the moment of sending, that the upstream has no pending
// Retry-After delay. The delay may have been requested after the placement decision.
func (s *Server) refuseRetryAfter(r *request, u *registry.Upstream) *refusal {
	if s.availability.retryAfter(incarnation(u)) == 0 {
		return nil
	}
	r.record.cause = "Retry-After delay of upstream " + u.ID + " has not ended"
	return notRun("upstream_rests", "the upstream accepts no requests from this router at present; the request was not run", defaultRetryAfter)
}

// mayCopyFrom reports whether other upstreams may copy cached parts from an upstream, which
// must neither be leaving nor have a pending Retry-After delay.
func (s *Server) mayCopyFrom(u *registry.Upstream) bool {
	at := incarnation(u)
	return !s.availability.leaving(at) && s.availability.retryAfter(at) == 0
}

// avoid returns the IDs of the upstreams to exclude from placement: those already tried and
// those that are unavailable to this router. If every upstream of the service is unavailable
// and at least one has a Retry-After delay, it returns a refusal with the shortest remaining
// delay.
func (s *Server) avoid(r *request) ([]string, *refusal) {
	unavailable := s.availability.unavailable()
	if len(unavailable) == 0 {
		return r.tried, nil
	}
	view := s.state.Snapshot().View
	var ids []string
	var shortest time.Duration
	for _, candidate := range unavailable {
		u := view.Upstream(candidate.Upstream.ID)
		if u == nil || u.Service != r.service || !incarnation(u).Same(candidate.Upstream) {
			continue
		}
		ids = append(ids, u.ID)
		if candidate.RetryAfter > 0 && (shortest == 0 || candidate.RetryAfter < shortest) {
			shortest = candidate.RetryAfter
		}
	}
	if shortest > 0 && len(ids) >= len(view.Ready(r.service)) {
		return nil, notRun("upstreams_rest", "no upstream accepts requests from this router at present; the request was not run", shortest)
	}
	return append(ids[:min(len(ids), maxAvoided)], r.tried...), nil
}

// maxAvoided caps the unavailable upstreams listed in a placement request, so that it fits
// into one datagram. The check before sending covers the rest.
const maxAvoided = 64

func incarnation(u *registry.Upstream) dispatch.Incarnation {
	return dispatch.Incarnation{ID: u.ID, Started: u.Started}
}
