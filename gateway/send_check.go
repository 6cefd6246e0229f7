package gateway

import (
	"net/http"
)

// checkBeforeSend checks, at the moment of sending, that the request's key is still valid
// and that its upstream may still be used. The placement may have taken a while, and the
// home that made it may have an older state than this router.
func (s *Server) checkBeforeSend(r *request, id string) (retryable bool, refused *refusal) {
	state := s.state.Snapshot()
	if refused := s.checkKey(r); refused != nil {
		return false, refused
	}
	if refused := s.refuseQuarantined(r); refused != nil {
		return false, refused
	}
	if s.overloadedWithOldState() {
		r.record.lag = s.placer.Lag()
		return false, notRun(codeRouterBusy, "this router is behind and its view too old to send on", defaultRetryAfter)
	}
	u := state.View.Upstream(id)
	if state.View.UpstreamEvacuated(id) {
		s.stats.withheld[withheldEvacuated].Inc(1)
		r.tried = append(r.tried, id)
		r.record.cause = "upstream " + id + " is in an evacuated failure domain"
		return true, notRun("upstream_evacuated", "the upstream's failure domain is being evacuated; the request was not run", defaultRetryAfter)
	}
	if u == nil || u.Service != r.service {
		r.tried = append(r.tried, id)
		r.record.cause = "upstream " + id + " is draining or has been removed"
		return true, notRun("upstream_left", "the upstream left before the request was sent", defaultRetryAfter)
	}
	if !s.inRegion(r, u) {
		s.stats.withheld[withheldRegion].Inc(1)
		r.tried = append(r.tried, id)
		r.record.cause = "upstream " + id + " is in a region that may not serve the request"
		return true, notRun("no_region", "the upstream's region may not serve the request; the request was not run", defaultRetryAfter)
	}
	if refused := s.refuseLeaving(r, u); refused != nil {
		r.tried = append(r.tried, id)
		return true, refused
	}
	if refused := s.refuseRetryAfter(r, u); refused != nil {
		return true, refused
	}
	return false, nil
}

// overloadedWithOldState reports whether this router is overloaded and its state too old to
// act upon.
//
// A flooded router reads the messages of its peers seconds late. It would send requests to
// upstreams that are draining or have been removed, and deny routes and keys that were added
// long ago. An old state is only rejected while the router is overloaded; otherwise an outage
// of the platform would stop all requests.
func (s *Server) overloadedWithOldState() bool {
	lag := max(s.placer.Lag(), s.placer.ReadLag())
	return lag > s.cfg.Shed.LagThreshold && s.state.Age() > s.cfg.MaxStateAge
}

// checkKey checks the caller's key against the newest configuration.
func (s *Server) checkKey(r *request) *refusal {
	if r.team == nil {
		return nil
	}
	if !s.state.Fresh() {
		return staleViewRefusal()
	}
	if s.state.Snapshot().Table.Team(r.in.Header.Get(s.cfg.Headers.APIKey)) == nil {
		return permanentRefusal(http.StatusUnauthorized, "unknown_key", "no team holds this key any more")
	}
	return nil
}
