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

// handleNotice records an upstream's leaving notice and reports a new one to the placer.
func (s *Server) handleNotice(r *request, notice upstreamNotice) {
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
	return notRun("upstream_left", "the upstream leaves; the request was not run", retryLater)
}

func incarnation(u *registry.Upstream) dispatch.Incarnation {
	return dispatch.Incarnation{ID: u.ID, Started: u.Started}
}
