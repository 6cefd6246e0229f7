package gateway

import (
	"net/http"
	"time"
)

// mayUse checks, at the moment of sending, that the request's key, route and
// upstream are still in force. The decision may have been waited for, and the
// home that made it may know less than this router.
func (s *Server) mayUse(r *request, id string) (again bool, refused *refusal) {
	state := s.state.Snapshot()
	if refused := s.stillAllowed(r); refused != nil {
		return false, refused
	}
	if refused := s.refuseQuarantined(r); refused != nil {
		return false, refused
	}
	if s.tooOld() {
		r.record.lag = s.placer.Lag()
		return false, notRun("router_busy", "this router is behind and its view too old to send on", retryLater)
	}
	u := state.View.Upstream(id)
	if state.View.UpstreamEvacuated(id) {
		s.stats.withheld[withheldEvacuated].Inc(1)
		r.tried = append(r.tried, id)
		r.record.cause = "upstream " + id + " is in an evacuated failure domain"
		return true, notRun("upstream_evacuated", "the upstream's failure domain is being evacuated; the request was not run", retryLater)
	}
	if u == nil || u.Service != r.service {
		r.tried = append(r.tried, id)
		r.record.cause = "upstream " + id + " has left"
		return true, notRun("upstream_left", "the upstream left before the request was sent", retryLater)
	}
	if !s.inRegion(r, u) {
		s.stats.withheld[withheldRegion].Inc(1)
		r.tried = append(r.tried, id)
		r.record.cause = "upstream " + id + " is in a region that may not serve the request"
		return true, notRun("no_region", "the upstream's region may not serve the request; the request was not run", retryLater)
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

// tooOld reports whether this router is behind and its view too old to act upon.
//
// A flooded router reads what its peers tell it seconds late. It would send to
// upstreams that have left, and deny routes and keys that were added long ago. While
// it is behind it trusts no old view; without that condition an outage of the
// platform would stop all.
func (s *Server) tooOld() bool {
	lag := max(s.placer.Lag(), s.placer.ReadLag())
	return lag > s.cfg.Shed.LagThreshold && s.state.Age() > s.cfg.MaxViewAge
}

// stillAllowed checks the key against the newest configuration.
func (s *Server) stillAllowed(r *request) *refusal {
	if r.team == nil {
		return nil
	}
	if !s.state.Fresh() {
		return notRun("stale_view", "this router's view of the keys is too old to decide", time.Second)
	}
	if s.state.Snapshot().Table.Team(r.in.Header.Get(s.cfg.Headers.APIKey)) == nil {
		return bad(http.StatusUnauthorized, "unknown_key", "no team holds this key any more")
	}
	return nil
}
