package registry

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/aspenswitch/aspenswitch/boottime"
)

// LapseGrace is how long an entry that went missing around an outage of the
// platform is still used: upstreams that live register again within two
// seconds of its return. It is less than the shortest time within which a
// leaving upstream must get no more work, which is two seconds as well.
const LapseGrace = 1500 * time.Millisecond

// Registry holds the entries. One goroutine owns it.
type Registry struct {
	entries map[string]Upstream
	// gone has the revision of deletions, so that a late page of a listing
	// doesn't bring an entry back.
	gone map[string]int64
	// lapsed entries are used until the moment given.
	lapsed map[string]boottime.Time
	// evacuations are by failure domain, reopened has when the evacuation of a failure
	// domain was last withdrawn.
	evacuations map[string]evacuation
	reopened    map[string]boottime.Time
}

// evacuation is the newest order for a failure domain.
type evacuation struct {
	revision int64
	ended    bool
}

// New returns an empty registry.
func New() *Registry {
	return &Registry{
		entries: map[string]Upstream{}, gone: map[string]int64{}, lapsed: map[string]boottime.Time{},
		evacuations: map[string]evacuation{}, reopened: map[string]boottime.Time{},
	}
}

// Put takes an entry in that was learned of now, unless a later change of it is known.
func (r *Registry) Put(now boottime.Time, u Upstream) {
	if r.gone[u.ID] > u.Revision || r.entries[u.ID].Revision > u.Revision {
		return
	}
	delete(r.lapsed, u.ID)
	if u.Started == 0 {
		u.Started = r.entries[u.ID].Started
	}
	u.WarmUpEnd = now.Add(u.WarmUpLeft)
	if known := r.entries[u.ID]; known.Revision == u.Revision && known.WarmUpEnd != 0 {
		u.WarmUpEnd = known.WarmUpEnd
	}
	r.entries[u.ID] = u
}

// Delete removes an entry that was deleted at a revision.
func (r *Registry) Delete(id string, revision int64) {
	if r.entries[id].Revision > revision {
		return
	}
	delete(r.entries, id)
	delete(r.lapsed, id)
	r.gone[id] = max(r.gone[id], revision)
	r.forget()
}

// Get returns an entry.
func (r *Registry) Get(id string) (Upstream, bool) {
	u, found := r.entries[id]
	return u, found
}

// maxGone bounds the memory for deletions; a listing takes seconds, in which no
// fleet loses as many upstreams.
const maxGone = 4096

func (r *Registry) forget() {
	if len(r.gone) <= maxGone {
		return
	}
	clear(r.gone)
}

// Lapse marks an entry as missing. It is used until the moment given, and stays
// if Put brings it back. A mark that is there already isn't put off.
func (r *Registry) Lapse(id string, until boottime.Time) {
	if _, known := r.entries[id]; !known {
		return
	}
	if _, marked := r.lapsed[id]; !marked {
		r.lapsed[id] = until
	}
}

// Missing returns the entries that a complete listing lacks.
func (r *Registry) Missing(listed map[string]bool) []string {
	var missing []string
	for id := range r.entries {
		if !listed[id] {
			missing = append(missing, id)
		}
	}
	return missing
}

// Expire removes lapsed entries whose grace is over. It reports whether any was
// removed.
func (r *Registry) Expire(now boottime.Time) bool {
	removed := false
	for id, until := range r.lapsed {
		if now < until {
			continue
		}
		delete(r.lapsed, id)
		delete(r.entries, id)
		removed = true
	}
	return removed
}

// Lapsed returns the entries that wait for their grace to end, with its end.
func (r *Registry) Lapsed() map[string]boottime.Time { return maps.Clone(r.lapsed) }

// View returns the present entries.
func (r *Registry) View() *View {
	v := &View{
		byID: make(map[string]*Upstream, len(r.entries)), ready: map[string][]*Upstream{}, counts: map[string]int{},
		evacuated: r.Evacuated(), reopened: maps.Clone(r.reopened),
	}
	for _, u := range r.entries {
		v.byID[u.ID] = &u
		if !u.Draining {
			v.counts[u.Service]++
		}
		if v.takesWork(&u) {
			v.ready[u.Service] = append(v.ready[u.Service], &u)
		}
	}
	for _, list := range v.ready {
		slices.SortFunc(list, func(a, b *Upstream) int { return cmp.Compare(a.ID, b.ID) })
	}
	return v
}
