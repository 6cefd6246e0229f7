package feed

import (
	"time"

	"github.com/aspenswitch/aspenswitch/boottime"
	"github.com/aspenswitch/aspenswitch/registry"
	"github.com/aspenswitch/aspenswitch/routing"
)

// StateVersion is what a router has that asks a peer for its state.
type StateVersion struct {
	ConfigVersion int64
	Revision      int64
}

// PeerState is a router's state as its peers get it.
type PeerState struct {
	Revision int64
	// AgeNanos is how long ago the state was confirmed when it was sent.
	AgeNanos int64
	// Config is left out if the asker has this version.
	Config *routing.Config
	// Since, if not 0, is the revision after which Upstreams and Gone tell what has
	// changed. Else Upstreams are all.
	Since     int64 `json:",omitempty"`
	Upstreams []registry.Upstream
	Gone      []string `json:",omitempty"`
	// Lapsed are upstreams whose entries went missing, with the nanoseconds for
	// which they may still be used. Without them a peer would keep an upstream
	// that has left until the next change.
	Lapsed map[string]int64 `json:",omitempty"`
	// Evacuated are the failure domains that are being evacuated, with the revisions of
	// the orders. They are always complete.
	Evacuated map[string]int64 `json:",omitempty"`
}

// StateVersion is what this router has.
func (f *Feed) StateVersion() StateVersion {
	s := f.Snapshot()
	if s == nil {
		return StateVersion{}
	}
	return StateVersion{ConfigVersion: s.ConfigVersion(), Revision: s.Revision}
}

// Export returns the state for a peer. It returns nil if there is none.
func (f *Feed) Export(have StateVersion) *PeerState {
	// The date is read before the state: a state that is newer than its date
	// only looks older than it is.
	age := f.Age()
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.Snapshot()
	if s == nil {
		return nil
	}
	e := &PeerState{Revision: s.Revision, AgeNanos: int64(age), Evacuated: f.upstream.Evacuated()}
	f.exportUpstreams(e, s, have.Revision)
	now := f.now()
	for id, until := range f.upstream.Lapsed() {
		if e.Lapsed == nil {
			e.Lapsed = map[string]int64{}
		}
		e.Lapsed[id] = int64(until.Sub(now))
	}
	if s.ConfigVersion() > have.ConfigVersion {
		e.Config = s.Table.Config
	}
	return e
}

// exportUpstreams tells a peer what has changed after its revision, or all if that
// isn't known any more.
func (f *Feed) exportUpstreams(e *PeerState, s *Snapshot, revision int64) {
	ids, known := f.changes.since(revision)
	if !known || revision == 0 {
		e.Upstreams = s.View.All()
		return
	}
	e.Since = revision
	for id := range ids {
		if u, found := f.upstream.Get(id); found {
			e.Upstreams = append(e.Upstreams, u)
		} else {
			e.Gone = append(e.Gone, id)
		}
	}
}

// Import takes in a peer's state that was asked for at a moment.
func (f *Feed) Import(e *PeerState, asked boottime.Time) {
	f.mu.Lock()
	changed := false
	if e.Config != nil {
		changed = f.adopt(e.Config)
	}
	if e.Revision > f.revision && f.importUpstreams(e) {
		for id, left := range e.Lapsed {
			f.upstream.Lapse(id, asked.Add(time.Duration(left)))
		}
		f.revision = e.Revision
		changed = true
		f.log.Info().Str("event", "peer_state").Int64("revision", e.Revision).Int64("since", e.Since).
			Int("upstreams", len(e.Upstreams)).Int("gone", len(e.Gone)).Int64("age_ms", e.AgeNanos/1e6).Msg("state taken from a peer")
	}
	// A state that could not be taken in says nothing of the one that is known.
	newest := e.Revision == f.revision
	f.publish(changed)
	f.mu.Unlock()
	if newest {
		f.confirm(asked - boottime.Time(e.AgeNanos))
	}
	if changed {
		f.onChange()
	}
}

// importUpstreams takes in upstreams. It reports false for changes that don't join
// what is known: one between them would be missing for good.
func (f *Feed) importUpstreams(e *PeerState) bool {
	now := f.now()
	if e.Since == 0 {
		f.changes.reset(e.Revision)
		listed := map[string]bool{}
		for _, u := range e.Upstreams {
			listed[u.ID] = true
			f.upstream.Put(now, u)
		}
		for _, id := range f.upstream.Missing(listed) {
			f.upstream.Delete(id, e.Revision)
		}
		f.upstream.ReplaceEvacuations(now, e.Evacuated, e.Revision)
		return true
	}
	if e.Since > f.revision {
		return false
	}
	f.upstream.ReplaceEvacuations(now, e.Evacuated, e.Revision)
	for _, u := range e.Upstreams {
		f.upstream.Put(now, u)
		// A lapse has no revision of its own: the entry's is older than the lapse.
		f.changes.add(e.Revision, u.ID)
	}
	for _, id := range e.Gone {
		f.upstream.Delete(id, e.Revision)
		f.changes.add(e.Revision, id)
	}
	return true
}

// ConfirmRevision takes a peer's word that a revision was the newest as of a moment. It
// reports whether the peer knows more than this router.
func (f *Feed) ConfirmRevision(revision int64, at boottime.Time) (newer bool) {
	s := f.snapshot.Load()
	if s == nil || revision > s.Revision {
		return true
	}
	if revision == s.Revision {
		f.confirm(at)
	}
	return false
}
