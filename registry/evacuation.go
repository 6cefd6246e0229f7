package registry

import (
	"github.com/aspenswitch/aspenswitch/boottime"
	"github.com/aspenswitch/aspenswitch/revision"
)

// RecordEvacuation records an order to evacuate a failure domain or, if withdrawn is set, the
// withdrawal of the order. It ignores revisions that aren't newer than the recorded one.
func (r *Registry) RecordEvacuation(now boottime.Time, domain string, withdrawn bool, at int64) {
	current, found := r.evacuations[domain]
	if found && current.revision >= at {
		return
	}
	if withdrawn && found && !current.withdrawn {
		r.withdrawnAt[domain] = now
	}
	r.evacuations[domain] = evacuation{revision: at, withdrawn: withdrawn}
	r.limitEvacuations()
}

// ReplaceEvacuations records the complete list of failure domains that are being evacuated as of
// a revision, with the revisions of the orders. Older evacuations that aren't in it count as
// withdrawn, but for those of an earlier epoch as long as what was known before it takes precedence.
func (r *Registry) ReplaceEvacuations(now boottime.Time, domains map[string]int64, at int64) {
	for domain, orderRevision := range domains {
		r.RecordEvacuation(now, domain, false, orderRevision)
	}
	for domain, current := range r.evacuations {
		if _, listed := domains[domain]; !listed && !current.withdrawn && current.revision < at && !r.heldFromEarlierEpoch(now, current, at) {
			r.RecordEvacuation(now, domain, true, at)
		}
	}
}

func (r *Registry) heldFromEarlierEpoch(now boottime.Time, e evacuation, at int64) bool {
	return r.holds(now) && revision.Epoch(e.revision) < revision.Epoch(at)
}

// Evacuated returns the failure domains that are being evacuated, with the revisions of the
// orders to evacuate them.
func (r *Registry) Evacuated() map[string]int64 {
	domains := map[string]int64{}
	for domain, e := range r.evacuations {
		if !e.withdrawn {
			domains[domain] = e.revision
		}
	}
	return domains
}

// maxEvacuations limits the memory used by withdrawn evacuations of unknown failure domains.
const maxEvacuations = 256

func (r *Registry) limitEvacuations() {
	if len(r.evacuations) <= maxEvacuations {
		return
	}
	for domain, e := range r.evacuations {
		if e.withdrawn {
			delete(r.evacuations, domain)
			delete(r.withdrawnAt, domain)
		}
	}
}
