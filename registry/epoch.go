package registry

import (
	"maps"
	"slices"
	"time"

	"github.com/aspenswitch/aspenswitch/boottime"
	"github.com/aspenswitch/aspenswitch/revision"
)

// copyHold is how long after a restore of the platform this router keeps what it had before, where
// the copy differs. Until then operators and upstreams have written again what was lost, and
// entries of upstreams that have ended have expired: an upstream is removed after three missed
// heartbeats, which it sends every 1.2 s or less often.
const copyHold = 10 * time.Second

// BeginEpoch records that the platform was restored from an older copy, and the revision of the first
// state after it.
//
// The copy shows what was so some seconds ago. An upstream that was leaving then is still leaving, one
// that was removed stays removed, and an evacuated failure domain still is. Each of them was acknowledged
// by the platform, and it may not be written again before requests reach the upstreams.
func (r *Registry) BeginEpoch(now boottime.Time, first int64) {
	r.epochStart, r.epochRevision = now, first
	clear(r.withheld)
}

// Restore is what a router knows of the first state after a restore of the platform, as long as what was
// known before takes precedence.
type Restore struct {
	// First is that state's revision.
	First int64
	// LeftNanos is the time in nanoseconds until that ends.
	LeftNanos int64
	// Withheld are its entries whose upstreams are known to have been removed.
	Withheld []Upstream `json:",omitempty"`
}

// Restore returns what was recorded of the current epoch's first state, or nil if the state is accepted as
// it is.
func (r *Registry) Restore(now boottime.Time) *Restore {
	if !r.holds(now) {
		return nil
	}
	left := r.epochStart.Add(copyHold).Sub(now)
	return &Restore{First: r.epochRevision, LeftNanos: int64(left), Withheld: slices.Collect(maps.Values(r.withheld))}
}

// LimitHold ends the time in which what was known before the current epoch takes precedence after left at
// the latest: another router has learned of the restore earlier.
func (r *Registry) LimitHold(now boottime.Time, left time.Duration) {
	if r.epochStart != 0 {
		r.epochStart = min(r.epochStart, now.Add(left-copyHold))
	}
}

// Withhold records an entry of the current epoch's first state that another router withholds, unless this
// one knows more of it.
func (r *Registry) Withhold(now boottime.Time, u Upstream) {
	current, known := r.entries[u.ID]
	if known && !u.RestartOf(&current) || !r.holds(now) || max(current.Revision, r.deletions[u.ID].revision) > u.Revision {
		return
	}
	r.withheld[u.ID] = u
}

// holds reports whether what was known before the current epoch takes precedence.
func (r *Registry) holds(now boottime.Time) bool {
	return r.epochStart != 0 && now < r.epochStart.Add(copyHold)
}

// withhold reports whether an entry is kept back: its upstream was deleted in an earlier epoch, and the
// entry may be the copy's. An entry that is written after the first state is the upstream's own, and one of
// an upstream that has registered again is newer than the deletion.
func (r *Registry) withhold(now boottime.Time, u Upstream) bool {
	current, known := r.entries[u.ID]
	if known && !u.RestartOf(&current) {
		delete(r.withheld, u.ID)
		return false
	}
	d, deleted := r.deletions[u.ID]
	fromCopy := deleted && revision.Epoch(u.Revision) > revision.Epoch(d.revision) && u.Revision <= r.epochRevision
	restarted := u.Started != 0 && d.started != 0 && u.Started != d.started
	if !fromCopy || restarted || !r.holds(now) {
		delete(r.withheld, u.ID)
		return false
	}
	r.withheld[u.ID] = u
	return true
}

// keepKnown keeps what can't have changed since an entry of an earlier epoch: an upstream that leaves
// keeps leaving, and a warm-up that was received continues.
func (u *Upstream) keepKnown(earlier *Upstream) {
	if u.RestartOf(earlier) {
		return
	}
	u.Draining = u.Draining || earlier.Draining
	if u.WarmUpLeft == earlier.WarmUpLeft || earlier.WarmUpEnd > u.WarmUpEnd {
		u.WarmUpEnd = earlier.WarmUpEnd
	}
}

// endHold accepts the withheld entries that are still published once the hold has ended, and withdraws
// the evacuations that weren't ordered again. It reports whether it changed anything.
func (r *Registry) endHold(now boottime.Time) (changed bool) {
	if r.epochStart == 0 || r.holds(now) {
		return false
	}
	for _, u := range r.withheld {
		changed = r.Put(now, u) || changed
	}
	for domain, e := range r.evacuations {
		if !e.withdrawn && revision.Epoch(e.revision) < revision.Epoch(r.epochRevision) {
			r.RecordEvacuation(now, domain, true, r.epochRevision)
			changed = true
		}
	}
	r.epochStart = 0
	clear(r.withheld)
	return changed
}
