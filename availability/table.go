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

// Table tracks the upstreams that are shutting down. An entry applies to one incarnation:
// an upstream that restarts under the same ID is available again. A Table isn't safe for
// concurrent use.
type Table struct {
	entries map[string]*entry
}

// entry is the state of one upstream.
type entry struct {
	upstream     dispatch.Incarnation
	leavingUntil time.Duration
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
		if now >= e.leavingUntil {
			delete(t.entries, id)
		}
	}
}
