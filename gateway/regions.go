package gateway

import (
	"slices"

	"github.com/aspenswitch/aspenswitch/registry"
)

// restrictRegions determines the regions that may serve a request, and refuses it if no
// upstream there is ready. If both the route and the team are restricted, both restrictions
// apply.
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
	return notRun("no_region", "no upstream in a region that may serve the request takes work; the request was not run", defaultRetryAfter)
}

// inRegion reports whether an upstream is in a region that may serve the request.
func (s *Server) inRegion(r *request, u *registry.Upstream) bool {
	return r.regions == nil || slices.Contains(r.regions, s.cfg.Regions[u.FailureDomain])
}

// intersect returns the regions of b that are also in a, or b if a is empty.
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
