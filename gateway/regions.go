package gateway

import (
	"slices"

	"github.com/aspenswitch/aspenswitch/registry"
)

// restrictRegions finds the regions that may serve a request, and refuses it if no upstream
// there takes work. Where both the route and the team are restricted, both restrictions hold.
func (s *Server) restrictRegions(r *request) *refusal {
	allowed, restricted := r.route.Regions, len(r.route.Regions) > 0
	if r.team != nil && len(r.team.Regions) > 0 {
		allowed, restricted = intersect(allowed, r.team.Regions), true
	}
	if !restricted {
		return nil
	}
	r.regions = allowed
	for _, u := range r.state.View.Ready(r.service) {
		if s.inRegion(r, u) {
			return nil
		}
	}
	return notRun("no_region", "no upstream in a region that may serve the request takes work; the request was not run", retryLater)
}

// inRegion reports whether an upstream may serve a request as far as its region goes.
func (s *Server) inRegion(r *request, u *registry.Upstream) bool {
	return r.regions == nil || slices.Contains(r.regions, s.cfg.Regions[u.FailureDomain])
}

// intersect returns the regions of b that are also in a; an empty a restricts nothing.
func intersect(a, b []string) []string {
	if len(a) == 0 {
		return b
	}
	both := []string{}
	for _, region := range b {
		if slices.Contains(a, region) {
			both = append(both, region)
		}
	}
	return both
}
