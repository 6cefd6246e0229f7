package feed

import (
	"time"

	"github.com/aspenswitch/aspenswitch/boottime"
	"github.com/aspenswitch/aspenswitch/registry"
	"github.com/aspenswitch/aspenswitch/revision"
	"github.com/aspenswitch/aspenswitch/routing"
)

// StateVersion identifies the state a router holds when it requests a peer's state.
type StateVersion struct {
	ConfigVersion int64
	Revision      int64
}

// PeerState is a router's state as sent to its peers.
type PeerState struct {
	Revision int64
	// Epoch is set between SplitEpoch and JoinEpoch; all revisions are counters then, of this epoch or
	// of the one that UpstreamEpochs has for the ID of an upstream, or EvacuationEpochs for an evacuated
	// failure domain.
	Epoch            int64            `json:",omitempty"`
	UpstreamEpochs   map[string]int64 `json:",omitempty"`
	EvacuationEpochs map[string]int64 `json:",omitempty"`
	// AgeNanos is the time in nanoseconds between the confirmation of the state and
	// its export.
	AgeNanos int64
	// Config is nil if the requester already has this version.
	Config *routing.Config
	// Since, if not 0, is the revision after which Upstreams and Gone list the
	// changes. If it is 0, Upstreams contains all upstreams.
	Since     int64 `json:",omitempty"`
	Upstreams []registry.Upstream
	Gone      []string `json:",omitempty"`
	// Lapsed maps the IDs of lapsed upstreams to the remaining grace period in
	// nanoseconds. Without it a peer would keep an upstream that has left until
	// the next change.
	Lapsed map[string]int64 `json:",omitempty"`
	// Evacuated maps the evacuated failure domains to the revisions of the
	// evacuation orders. It is always complete, also if Since is set.
	Evacuated map[string]int64 `json:",omitempty"`
	// Restore is set for a while after the platform was restored from a copy.
	Restore *registry.Restore `json:",omitempty"`
}

// StateVersion returns the version of the current state, zero if there is none.
func (f *Feed) StateVersion() StateVersion {
	s := f.Snapshot()
	if s == nil {
		return StateVersion{}
	}
	return StateVersion{ConfigVersion: s.ConfigVersion(), Revision: s.Revision}
}

// Export returns the state for a peer that holds the known version, or nil if there
// is none yet.
func (f *Feed) Export(known StateVersion) *PeerState {
	// The age is read before the state. If the state changes between the two reads,
	// it is reported as older than it is, never as younger.
	age := f.Age()
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.Snapshot()
	if s == nil {
		return nil
	}
	now := f.now()
	state := &PeerState{Revision: s.Revision, AgeNanos: int64(age), Evacuated: f.upstreams.Evacuated(), Restore: f.upstreams.Restore(now)}
	f.exportUpstreams(state, s, known.Revision)
	for id, expiry := range f.upstreams.Lapsed() {
		if state.Lapsed == nil {
			state.Lapsed = map[string]int64{}
		}
		state.Lapsed[id] = int64(expiry.Sub(now))
	}
	if s.ConfigVersion() > known.ConfigVersion {
		state.Config = s.Table.Config
	}
	return state
}

// exportUpstreams adds the upstreams changed after the revision since to state, or
// all upstreams if the change log no longer covers it.
func (f *Feed) exportUpstreams(state *PeerState, s *Snapshot, since int64) {
	ids, complete := f.changes.since(since)
	if !complete || since == 0 || revision.Epoch(since) != revision.Epoch(s.Revision) {
		state.Upstreams = s.View.All()
		return
	}
	state.Since = since
	for id := range ids {
		if u, found := f.upstreams.Get(id); found {
			state.Upstreams = append(state.Upstreams, u)
		} else {
			state.Gone = append(state.Gone, id)
		}
	}
}

// Import applies a peer's state that was requested at requestedAt. The request time,
// less the age that the peer reports, becomes the confirmation time.
func (f *Feed) Import(state *PeerState, requestedAt boottime.Time) {
	f.mu.Lock()
	changed := false
	if state.Config != nil {
		changed = f.applyConfig(state.Config)
	}
	if state.Revision > f.revision && f.importUpstreams(state) {
		for id, remaining := range state.Lapsed {
			f.upstreams.Lapse(id, requestedAt.Add(time.Duration(remaining)))
		}
		f.revision = state.Revision
		changed = true
		f.log.Info().Str("event", "peer_state").Int64("epoch", revision.Epoch(state.Revision)).Int64("revision", revision.Counter(state.Revision)).Int64("since", revision.Counter(state.Since)).
			Int("upstreams", len(state.Upstreams)).Int("gone", len(state.Gone)).Int64("age_ms", state.AgeNanos/1e6).Msg("applied state from peer")
	}
	// A state that could not be applied doesn't confirm the current one.
	upToDate := state.Revision == f.revision
	f.storeSnapshot(changed)
	f.mu.Unlock()
	if upToDate {
		f.confirm(requestedAt - boottime.Time(state.AgeNanos))
	}
	if changed {
		f.onChange()
	}
}

// importUpstreams applies a peer's upstreams. It returns false and applies nothing if
// the changes start after the current revision: those in between would be lost
// permanently.
func (f *Feed) importUpstreams(state *PeerState) bool {
	now := f.now()
	f.beginPeerEpoch(state)
	if state.Since == 0 {
		f.importListing(state, now)
		return true
	}
	if state.Since > f.revision {
		return false
	}
	f.upstreams.ReplaceEvacuations(now, state.Evacuated, state.Revision)
	for _, u := range state.Upstreams {
		f.upstreams.Put(now, u)
		// A lapse has no revision of its own, and the entry's revision is older than
		// the lapse.
		f.changes.add(state.Revision, u.ID)
	}
	for _, id := range state.Gone {
		f.upstreams.Delete(id, state.Revision)
		f.changes.add(state.Revision, id)
	}
	return true
}

// beginPeerEpoch handles a peer's state that is the first one after a restore of the platform, also if it
// is the first one of this router: the peer may know more than the copy has.
func (f *Feed) beginPeerEpoch(state *PeerState) {
	if state.Restore == nil {
		f.beginEpoch(state.Revision)
		return
	}
	if f.revision == 0 {
		f.recoveredAt = f.now()
		f.upstreams.BeginEpoch(f.recoveredAt, state.Restore.First)
	} else {
		f.beginEpoch(state.Restore.First)
	}
	f.upstreams.LimitHold(f.now(), time.Duration(state.Restore.LeftNanos))
}

// importListing replaces the upstreams by those of a complete state.
func (f *Feed) importListing(state *PeerState, now boottime.Time) {
	if f.revision == 0 {
		f.changes.reset(state.Revision)
	}
	listed := map[string]bool{}
	for _, u := range state.Upstreams {
		listed[u.ID] = true
		if f.upstreams.Put(now, u) {
			f.changes.add(state.Revision, u.ID)
		}
	}
	if state.Restore != nil {
		for _, u := range state.Restore.Withheld {
			listed[u.ID] = true
			f.upstreams.Withhold(now, u)
		}
	}
	for _, id := range f.upstreams.Missing(listed) {
		f.upstreams.Delete(id, state.Revision)
		f.changes.add(state.Revision, id)
	}
	f.upstreams.ReplaceEvacuations(now, state.Evacuated, state.Revision)
}

// ConfirmRevision records a peer's report that revision was the newest at the given
// time. It returns true if the peer's state is newer than the current one.
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
