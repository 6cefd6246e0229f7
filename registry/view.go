package registry

import (
	"maps"
	"slices"

	"github.com/aspenswitch/aspenswitch/boottime"
)

// View is an immutable snapshot of a Registry.
type View struct {
	byID  map[string]*Upstream
	ready map[string][]*Upstream
	// counts has the number of each service's upstreams that aren't draining, including those in
	// evacuated failure domains.
	counts      map[string]int
	versions    map[serviceVersion]VersionCount
	evacuated   map[string]int64
	withdrawnAt map[string]boottime.Time
}

// serviceVersion is a software version of a service's upstreams.
type serviceVersion struct{ service, version string }

// VersionCount is the number of a service's upstreams with one software version.
type VersionCount struct {
	// Registered counts all entries, Ready those that accept new requests.
	Registered, Ready int
}

// Versions returns the numbers of a service's upstreams by software version. Upstreams of an
// unknown version are counted under "".
func (v *View) Versions(service string) map[string]VersionCount {
	versions := map[string]VersionCount{}
	for key, count := range v.versions {
		if key.service == service {
			versions[key.version] = count
		}
	}
	return versions
}

// ReadyAt returns how many upstreams of a service accept new requests at a software version.
func (v *View) ReadyAt(service, version string) int {
	return v.versions[serviceVersion{service, version}].Ready
}

// Ready returns the upstreams of a service that accept new requests, sorted by ID.
func (v *View) Ready(service string) []*Upstream { return v.ready[service] }

// Count returns the number of a service's upstreams that aren't draining, including those in
// failure domains that are being evacuated.
func (v *View) Count(service string) int { return v.counts[service] }

// Upstream returns the upstream with the given ID, or nil if it is unknown or accepts no new
// requests.
func (v *View) Upstream(id string) *Upstream {
	u := v.byID[id]
	if u == nil || !v.acceptsRequests(u) {
		return nil
	}
	return u
}

// All returns all entries, including those of draining upstreams, in no particular order.
func (v *View) All() []Upstream {
	all := make([]Upstream, 0, len(v.byID))
	for _, u := range v.byID {
		all = append(all, *u)
	}
	return all
}

// Evacuated returns the failure domains that are being evacuated, sorted.
func (v *View) Evacuated() []string { return slices.Sorted(maps.Keys(v.evacuated)) }

// UpstreamEvacuated reports whether an upstream is in a failure domain that is being evacuated.
func (v *View) UpstreamEvacuated(id string) bool {
	u := v.byID[id]
	return u != nil && v.isEvacuated(u.FailureDomain)
}

// EvacuationWithdrawnAt returns when this router received the withdrawal of a failure domain's
// evacuation, or 0 if it has received none.
func (v *View) EvacuationWithdrawnAt(domain string) boottime.Time { return v.withdrawnAt[domain] }

func (v *View) isEvacuated(domain string) bool {
	_, evacuated := v.evacuated[domain]
	return evacuated
}

func (v *View) acceptsRequests(u *Upstream) bool {
	return !u.Draining && !v.isEvacuated(u.FailureDomain)
}
