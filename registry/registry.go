package registry

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/aspenswitch/aspenswitch/boottime"
	"github.com/aspenswitch/aspenswitch/revision"
)

// LapseGrace is how long a lapsed entry is still used, counted from when the router receives the
// deletion. An entry lapses if the platform deletes it around an outage although its upstream may
// still run; upstreams that run register again within 2 s after the platform has recovered.
// LapseGrace is below the 2 s after which an upstream that has really left must receive no more
// requests.
const LapseGrace = 1500 * time.Millisecond

// Registry stores the entries of upstreams and the evacuations of failure domains. It isn't safe
// for concurrent use.
type Registry struct {
	entries map[string]Upstream
	// deletions has the deleted entries, so that a delayed page of a
	// listing doesn't restore a deleted entry.
	deletions map[string]deletion
	// epochStart is when this router received the first state of the current epoch, and
	// epochRevision that state's revision; both are 0 before the first restore that it has seen.
	epochStart    boottime.Time
	epochRevision int64
	// withheld has entries of that state whose upstreams are known to have been removed.
	withheld map[string]Upstream
	// lapsed has the times until which lapsed entries are used.
	lapsed map[string]boottime.Time
	// evacuations has the latest order for each failure domain. withdrawnAt has the times at
	// which evacuations were last withdrawn.
	evacuations map[string]evacuation
	withdrawnAt map[string]boottime.Time
}

// evacuation is the latest order for a failure domain or, if withdrawn is set, its withdrawal.
type evacuation struct {
	revision  int64
	withdrawn bool
}

// deletion is the deletion of an entry.
type deletion struct {
	revision int64
	// started is Upstream.Started of the deleted entry.
	started int64
}

// New returns an empty registry.
func New() *Registry {
	return &Registry{
		entries: map[string]Upstream{}, deletions: map[string]deletion{}, withheld: map[string]Upstream{}, lapsed: map[string]boottime.Time{},
		evacuations: map[string]evacuation{}, withdrawnAt: map[string]boottime.Time{},
	}
}

// Put records an entry received at now, unless a later change or deletion of it is recorded. The
// warm-up of an entry counts from when its revision was first received. Put reports whether the
// entry is new, has another revision or had lapsed.
func (r *Registry) Put(now boottime.Time, u Upstream) (changed bool) {
	current, known := r.entries[u.ID]
	if r.deletions[u.ID].revision > u.Revision || current.Revision > u.Revision {
		return false
	}
	if r.withhold(now, u) {
		return false
	}
	_, lapsed := r.lapsed[u.ID]
	delete(r.lapsed, u.ID)
	if u.Started == 0 {
		u.Started = current.Started
	}
	if u.Version == "" && u.Revision == current.Revision {
		u.Version = current.Version
	}
	u.WarmUpEnd = now.Add(u.WarmUpLeft)
	if current.Revision == u.Revision && current.WarmUpEnd != 0 {
		u.WarmUpEnd = current.WarmUpEnd
	}
	if known && revision.Epoch(u.Revision) > revision.Epoch(current.Revision) {
		u.keepKnown(&current)
	}
	r.entries[u.ID] = u
	return !known || lapsed || current.Revision != u.Revision
}

// Delete records that an entry was deleted at a revision, unless a later change is recorded.
func (r *Registry) Delete(id string, at int64) {
	entry, known := r.entries[id]
	if entry.Revision > at {
		return
	}
	delete(r.entries, id)
	delete(r.lapsed, id)
	delete(r.withheld, id)
	d := r.deletions[id]
	if known {
		d.started = entry.Started
	}
	d.revision = max(d.revision, at)
	r.deletions[id] = d
	r.limitDeletions()
}

// Get returns an entry.
func (r *Registry) Get(id string) (Upstream, bool) {
	u, found := r.entries[id]
	return u, found
}

// maxDeletions limits the memory used by recorded deletions. They are only needed while a listing
// is in progress, which takes seconds; no fleet loses that many upstreams in this time.
const maxDeletions = 4096

func (r *Registry) limitDeletions() {
	if len(r.deletions) <= maxDeletions {
		return
	}
	clear(r.deletions)
}

// Lapse marks an entry as missing. Expire removes it after the given time unless Put restores it
// first. Lapsing an entry again doesn't extend the time.
func (r *Registry) Lapse(id string, until boottime.Time) {
	delete(r.withheld, id)
	if _, known := r.entries[id]; !known {
		return
	}
	if _, marked := r.lapsed[id]; !marked {
		r.lapsed[id] = until
	}
}

// Missing returns the IDs of the entries, also of withheld ones, that aren't in a complete listing.
func (r *Registry) Missing(listed map[string]bool) []string {
	var missing []string
	for id := range r.withheld {
		if !listed[id] {
			missing = append(missing, id)
		}
	}
	for id := range r.entries {
		if !listed[id] {
			missing = append(missing, id)
		}
	}
	return missing
}

// Expire removes lapsed entries whose grace period has ended, and accepts the state of the current
// epoch as it is once copyHold has passed. It reports whether it changed anything.
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
	return r.endHold(now) || removed
}

// Lapsed returns the IDs of lapsed entries with the ends of their grace periods.
func (r *Registry) Lapsed() map[string]boottime.Time { return maps.Clone(r.lapsed) }

// View returns a snapshot of the registry.
func (r *Registry) View() *View {
	v := &View{
		byID: make(map[string]*Upstream, len(r.entries)), ready: map[string][]*Upstream{}, counts: map[string]int{},
		versions:  map[serviceVersion]VersionCount{},
		evacuated: r.Evacuated(), withdrawnAt: maps.Clone(r.withdrawnAt),
	}
	for _, u := range r.entries {
		v.byID[u.ID] = &u
		key := serviceVersion{u.Service, u.Version}
		count := v.versions[key]
		count.Registered++
		if !u.Draining {
			v.counts[u.Service]++
		}
		if v.acceptsRequests(&u) {
			v.ready[u.Service] = append(v.ready[u.Service], &u)
			count.Ready++
		}
		v.versions[key] = count
	}
	for _, list := range v.ready {
		slices.SortFunc(list, func(a, b *Upstream) int { return cmp.Compare(a.ID, b.ID) })
	}
	return v
}
