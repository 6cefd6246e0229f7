package availability

import (
	"time"

	"github.com/aspenswitch/aspenswitch/dispatch"
)

const (
	// LeavingTTL is how long an upstream counts as leaving after its last leaving notice.
	// It exceeds the time that upstreams take to shut down.
	LeavingTTL = 5 * time.Minute
	// cleanupThreshold is the table size at which adding an entry removes the expired ones.
	cleanupThreshold = 4096
)

// Table tracks the upstreams that are shutting down and the Retry-After delays that upstreams
// have requested. An entry applies to one incarnation: an upstream that restarts under the
// same ID is available again. A Table isn't safe for concurrent use.
type Table struct {
	entries map[string]*entry
}

// entry is the state of one upstream.
type entry struct {
	upstream     dispatch.Incarnation
	leavingUntil time.Duration
	// retryAt is when the Retry-After delay ends.
	retryAt time.Duration
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{entries: map[string]*entry{}} }

// RecordLeaving records that an upstream is shutting down. It reports whether the upstream
// wasn't already marked as leaving.
func (t *Table) RecordLeaving(now time.Duration, upstream dispatch.Incarnation) bool {
	e := t.entryFor(now, upstream)
	changed := now >= e.leavingUntil
	e.leavingUntil = now + LeavingTTL
	return changed
}

// Leaving reports whether an upstream is marked as leaving.
func (t *Table) Leaving(now time.Duration, upstream dispatch.Incarnation) bool {
	e := t.entries[upstream.ID]
	return e != nil && e.upstream.Same(upstream) && now < e.leavingUntil
}

// RecordRetryAfter records the Retry-After delay requested by an upstream. It never shortens
// a delay that is already recorded.
func (t *Table) RecordRetryAfter(now time.Duration, upstream dispatch.Incarnation, delay time.Duration) {
	e := t.entryFor(now, upstream)
	e.retryAt = max(e.retryAt, now+delay)
}

// RetryAfter returns the remaining Retry-After delay of an upstream, or 0 if there is none.
func (t *Table) RetryAfter(now time.Duration, upstream dispatch.Incarnation) time.Duration {
	e := t.entries[upstream.ID]
	if e == nil || !e.upstream.Same(upstream) {
		return 0
	}
	return max(e.retryAt-now, 0)
}

// Unavailable is an upstream that is leaving or whose Retry-After delay hasn't ended.
type Unavailable struct {
	Upstream dispatch.Incarnation
	// RetryAfter is the remaining delay, or 0 if the upstream is leaving.
	RetryAfter time.Duration
}

// Unavailable returns the upstreams that currently accept no requests, in no particular order.
func (t *Table) Unavailable(now time.Duration) []Unavailable {
	var unavailable []Unavailable
	for _, e := range t.entries {
		switch {
		case now < e.leavingUntil:
			unavailable = append(unavailable, Unavailable{Upstream: e.upstream})
		case now < e.retryAt:
			unavailable = append(unavailable, Unavailable{Upstream: e.upstream, RetryAfter: e.retryAt - now})
		}
	}
	return unavailable
}

// entryFor returns the entry of an incarnation, replacing that of any other incarnation with
// the same ID.
func (t *Table) entryFor(now time.Duration, upstream dispatch.Incarnation) *entry {
	if e := t.entries[upstream.ID]; e != nil && e.upstream.Same(upstream) {
		return e
	}
	if len(t.entries) >= cleanupThreshold {
		t.removeExpired(now)
	}
	e := &entry{upstream: upstream}
	t.entries[upstream.ID] = e
	return e
}

func (t *Table) removeExpired(now time.Duration) {
	for id, e := range t.entries {
		if now >= max(e.leavingUntil, e.retryAt) {
			delete(t.entries, id)
		}
	}
}
