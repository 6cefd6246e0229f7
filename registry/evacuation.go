package registry

import "github.com/aspenswitch/aspenswitch/boottime"

// RecordEvacuation records an order to evacuate a failure domain or, if withdrawn is set, the
// withdrawal of the order. It ignores revisions that aren't newer than the recorded one.
func (r *Registry) RecordEvacuation(now boottime.Time, domain string, withdrawn bool, revision int64) {
	current, found := r.evacuations[domain]
	if found && current.revision >= revision {
		return
	}
	if withdrawn && found && !current.withdrawn {
		r.withdrawnAt[domain] = now
	}
	r.evacuations[domain] = evacuation{revision: revision, withdrawn: withdrawn}
	r.limitEvacuations()
}

// ReplaceEvacuations records the complete list of failure domains that are being evacuated as of
// a revision, with the revisions of the orders. Older evacuations that aren't in it count as
// withdrawn.
func (r *Registry) ReplaceEvacuations(now boottime.Time, domains map[string]int64, revision int64) {
	for domain, orderRevision := range domains {
		r.RecordEvacuation(now, domain, false, orderRevision)
	}
	for domain, current := range r.evacuations {
		if _, listed := domains[domain]; !listed && !current.withdrawn && current.revision < revision {
			r.RecordEvacuation(now, domain, true, revision)
		}
	}
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
