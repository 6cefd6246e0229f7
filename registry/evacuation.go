package registry

import "github.com/aspenswitch/aspenswitch/boottime"

// RecordEvacuation records that the evacuation of a failure domain was ordered or, if ended is
// set, withdrawn. It ignores revisions that aren't newer than the recorded one.
func (r *Registry) RecordEvacuation(now boottime.Time, domain string, ended bool, revision int64) {
	current, found := r.evacuations[domain]
	if found && current.revision >= revision {
		return
	}
	if ended && found && !current.ended {
		r.reopened[domain] = now
	}
	r.evacuations[domain] = evacuation{revision: revision, ended: ended}
	r.limitEvacuations()
}

// ReplaceEvacuations records the complete list of failure domains that are being evacuated as of
// a revision, with the revisions of the orders. Older evacuations that aren't in it have ended.
func (r *Registry) ReplaceEvacuations(now boottime.Time, domains map[string]int64, revision int64) {
	for domain, orderRevision := range domains {
		r.RecordEvacuation(now, domain, false, orderRevision)
	}
	for domain, current := range r.evacuations {
		if _, listed := domains[domain]; !listed && !current.ended && current.revision < revision {
			r.RecordEvacuation(now, domain, true, revision)
		}
	}
}

// Evacuated returns the failure domains that are being evacuated, with the revisions of the
// orders to evacuate them.
func (r *Registry) Evacuated() map[string]int64 {
	domains := map[string]int64{}
	for domain, e := range r.evacuations {
		if !e.ended {
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
		if e.ended {
			delete(r.evacuations, domain)
			delete(r.reopened, domain)
		}
	}
}
