package registry

import (
	"maps"
	"slices"

	"github.com/aspenswitch/aspenswitch/boottime"
)

// View is the registry at one moment. It isn't changed once made.
type View struct {
	byID  map[string]*Upstream
	ready map[string][]*Upstream
	// counts are the upstreams of a service that aren't leaving, evacuated ones included.
	counts    map[string]int
	evacuated map[string]int64
	reopened  map[string]boottime.Time
}

// Ready returns the upstreams of a service that take new work, by ID.
func (v *View) Ready(service string) []*Upstream { return v.ready[service] }

// Count returns the number of a service's upstreams that aren't leaving, including those in
// failure domains that are being evacuated.
func (v *View) Count(service string) int { return v.counts[service] }

// Upstream finds an upstream that takes new work, nil if it doesn't or is not
// known.
func (v *View) Upstream(id string) *Upstream {
	u := v.byID[id]
	if u == nil || !v.takesWork(u) {
		return nil
	}
	return u
}

// All returns every entry, also those of upstreams that are leaving.
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

// ReopenedAt returns when this router learned that the evacuation of a failure domain was
// withdrawn, 0 if it has not seen that.
func (v *View) ReopenedAt(domain string) boottime.Time { return v.reopened[domain] }

func (v *View) isEvacuated(domain string) bool {
	_, evacuated := v.evacuated[domain]
	return evacuated
}

func (v *View) takesWork(u *Upstream) bool { return !u.Draining && !v.isEvacuated(u.FailureDomain) }
