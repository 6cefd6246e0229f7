package feed

import (
	"time"

	"github.com/aspenswitch/aspenswitch/boottime"
	"github.com/aspenswitch/aspenswitch/registry"
	"github.com/aspenswitch/aspenswitch/routing"
)

// Export is a router's state as its peers get it.
type Export struct {
	Revision int64
	// AgeNanos is how long ago the state was confirmed when it was sent.
	AgeNanos int64
	// Config is left out if the asker has this version.
	Config    *routing.Config
	Upstreams []registry.Upstream
	// Lapsed are upstreams whose entries went missing, with the nanoseconds for
	// which they may still be used. Without them a peer would keep an upstream
	// that has left until the next change.
	Lapsed map[string]int64 `json:",omitempty"`
}

// Export returns the state for a peer that has a version of the configuration.
// It returns nil if there is none.
func (f *Feed) Export(haveConfig int64) *Export {
	// The date is read before the state: a state that is newer than its date
	// only looks older than it is.
	age := f.Age()
	f.mu.Lock()
	s := f.Snapshot()
	lapsed := f.upstream.Lapsed()
	f.mu.Unlock()
	if s == nil {
		return nil
	}
	e := &Export{Revision: s.Revision, AgeNanos: int64(age), Upstreams: s.View.All()}
	now := f.now()
	for id, until := range lapsed {
		if e.Lapsed == nil {
			e.Lapsed = map[string]int64{}
		}
		e.Lapsed[id] = int64(until.Sub(now))
	}
	if s.ConfigVersion() > haveConfig {
		e.Config = s.Table.Config
	}
	return e
}

// Import takes in a peer's state that was asked for at a moment.
func (f *Feed) Import(e *Export, asked boottime.Time) {
	f.mu.Lock()
	changed := false
	if e.Config != nil {
		changed = f.adopt(e.Config)
	}
	if e.Revision > f.revision {
		f.upstream = registry.New()
		for _, u := range e.Upstreams {
			f.upstream.Put(u)
		}
		for id, left := range e.Lapsed {
			f.upstream.Lapse(id, asked.Add(time.Duration(left)))
		}
		f.revision = e.Revision
		changed = true
		f.log.Info().Str("event", "peer_state").Int64("revision", e.Revision).
			Int("upstreams", len(e.Upstreams)).Int64("age_ms", e.AgeNanos/1e6).Msg("state taken from a peer")
	}
	current := f.revision
	f.publish(changed)
	f.mu.Unlock()
	if e.Revision >= current {
		f.confirm(asked - boottime.Time(e.AgeNanos))
	}
	if changed {
		f.onChange()
	}
}

// Vouch takes a peer's word that a revision was the newest as of a moment. It
// reports whether the peer knows more than this router.
func (f *Feed) Vouch(revision int64, at boottime.Time) (newer bool) {
	s := f.snapshot.Load()
	if s == nil || revision > s.Revision {
		return true
	}
	if revision == s.Revision {
		f.confirm(at)
	}
	return false
}
