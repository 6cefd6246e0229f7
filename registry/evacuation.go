package registry

import "github.com/aspenswitch/aspenswitch/boottime"

// RecordEvacuation takes in that the evacuation of a failure domain was ordered or, if ended is set,
// withdrawn, unless a later change of it is known.
func (r *Registry) RecordEvacuation(now boottime.Time, domain string, ended bool, revision int64) {
	known, found := r.evacuations[domain]
	if found && known.revision >= revision {
		return
	}
	if ended && found && !known.ended {
		r.reopened[domain] = now
	}
	r.evacuations[domain] = evacuation{revision: revision, ended: ended}
	r.forgetEvacuations()
}

// ReplaceEvacuations takes in the failure domains that were being evacuated as of a revision, with
// the revisions of the orders. Evacuations that are missing were withdrawn.
func (r *Registry) ReplaceEvacuations(now boottime.Time, domains map[string]int64, revision int64) {
	for domain, ordered := range domains {
		r.RecordEvacuation(now, domain, false, ordered)
	}
	for domain, known := range r.evacuations {
		if _, still := domains[domain]; !still && !known.ended && known.revision < revision {
			r.RecordEvacuation(now, domain, true, revision)
		}
	}
}

// Evacuated returns the failure domains that are being evacuated, with the revisions of the
// orders.
func (r *Registry) Evacuated() map[string]int64 {
	domains := map[string]int64{}
	for domain, e := range r.evacuations {
		if !e.ended {
			domains[domain] = e.revision
		}
	}
	return domains
}

// maxEvacuations bounds the memory for withdrawn evacuations of failure domains that nobody
// knows.
const maxEvacuations = 256

func (r *Registry) forgetEvacuations() {
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
