package quarantine

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Table tracks crashes by content and derives the status of each. Every router keeps a
// table of the crashes that it observes; the hub responsible for a content also receives
// the crashes that other routers observe. Routers exchange status changes as notices. A
// Table isn't safe for concurrent use.
type Table struct {
	cfg     Config
	entries map[ContentID]*entry
	perTeam map[string]int
	view    *View
	digest  uint32
	// stale is set if the view and the digest must be recomputed from the entries.
	stale bool
}

// entry is the state of one content.
type entry struct {
	status  Status
	version uint32
	// crashes is the number of consecutive crashes; upstreams are the most recent
	// incarnations among them.
	crashes   int
	upstreams []uint64
	lastCrash time.Duration
	// lastSuccess is when a request with the content last received a complete response.
	lastSuccess time.Duration
	// duration is the length of the latest quarantine.
	duration time.Duration
	// expires is when the quarantine ends or, outside quarantine, when the entry is removed.
	expires time.Duration
}

// NewTable returns an empty table.
func NewTable(cfg Config) *Table {
	return &Table{cfg: cfg, entries: map[ContentID]*entry{}, perTeam: map[string]int{}, view: &View{}}
}

// RecordCrash records a crash. It returns a notice for the other routers if the status of
// the content has changed.
//
// A crash interrupts every request on the upstream, so one crash doesn't show which request
// caused it. Only consecutive crashes of different incarnations count, with no success in
// between. Requests sent before the last counted crash are ignored, since the loss of a
// failure domain crashes many upstreams at once.
func (t *Table) RecordCrash(now time.Duration, c Crash) (Notice, bool) {
	e := t.entries[c.ID]
	if e == nil {
		if e = t.add(c.ID); e == nil {
			return Notice{}, false
		}
	}
	if c.Sent < e.lastSuccess || c.Sent < e.lastCrash || slices.Contains(e.upstreams, c.Upstream) {
		return Notice{}, false
	}
	e.upstreams = append(e.upstreams, c.Upstream)
	if len(e.upstreams) > t.cfg.QuarantineAfter {
		e.upstreams = e.upstreams[1:]
	}
	e.crashes++
	e.lastCrash = now
	return t.updateStatus(now, c.ID, e)
}

// updateStatus derives the status from the number of crashes.
func (t *Table) updateStatus(now time.Duration, id ContentID, e *entry) (Notice, bool) {
	before := e.status
	switch {
	case e.status == Quarantined:
		return Notice{}, false
	case e.crashes >= t.cfg.QuarantineAfter:
		e.status = Quarantined
		e.duration = min(max(2*e.duration, t.cfg.MinDuration), t.cfg.MaxDuration)
		e.expires = now + e.duration
	case e.crashes >= t.cfg.SuspectAfter:
		e.status = Suspect
		e.expires = now + t.cfg.EntryTTL
	default:
		e.expires = now + t.cfg.EntryTTL
	}
	t.stale = true
	if e.status == before {
		return Notice{}, false
	}
	e.version++
	return t.notice(now, id, e), true
}

// RecordSuccess resets a content to Normal after a request with it received a complete
// response, or after an operator released it. It returns a notice for the other routers if
// the status has changed.
func (t *Table) RecordSuccess(now time.Duration, id ContentID) (Notice, bool) {
	e := t.entries[id]
	if e == nil {
		return Notice{}, false
	}
	changed := e.status != Normal
	e.reset(now)
	e.expires = now + t.cfg.EntryTTL
	t.stale = true
	if !changed {
		return Notice{}, false
	}
	e.version++
	return t.notice(now, id, e), true
}

// reset clears the crashes and records a success.
func (e *entry) reset(now time.Duration) {
	e.status, e.crashes, e.upstreams, e.duration, e.lastSuccess = Normal, 0, nil, 0, now
}

// Apply merges a notice from another router. It reports whether the status of the content
// has changed.
func (t *Table) Apply(now time.Duration, n Notice) bool {
	if n.Status > Quarantined {
		return false
	}
	e := t.entries[n.ID]
	if e == nil {
		if e = t.add(n.ID); e == nil {
			return false
		}
	}
	if n.Version < e.version || n.Version == e.version && n.Status <= e.status {
		return false
	}
	before := e.status
	e.version = n.Version
	t.stale = true
	left := min(max(n.Left, 0), t.cfg.MaxDuration)
	switch n.Status {
	case Quarantined:
		e.crashes = max(e.crashes, t.cfg.QuarantineAfter)
		e.duration = max(e.duration, left)
	case Suspect:
		e.crashes = max(e.crashes, t.cfg.SuspectAfter)
		// Prevents counting a crash twice: one that is recorded here later may already be
		// included in the notice.
		e.lastCrash = now
	default:
		e.reset(now)
	}
	e.status, e.expires = n.Status, now+left
	return e.status != before
}

// Expire ends quarantines and removes other entries that have expired. A content whose
// quarantine has ended is suspect, and its next crash starts another quarantine.
func (t *Table) Expire(now time.Duration) {
	for id, e := range t.entries {
		switch {
		case now < e.expires:
		case e.status == Quarantined:
			e.status, e.crashes, e.upstreams = Suspect, t.cfg.QuarantineAfter-1, nil
			e.expires = now + max(e.duration, t.cfg.EntryTTL)
			t.stale = true
		default:
			t.remove(id)
		}
	}
}

// Get returns the state of a content.
func (t *Table) Get(now time.Duration, id ContentID) Entry {
	e := t.entries[id]
	if e == nil {
		return Entry{ID: id}
	}
	return Entry{ID: id, Status: e.status, Crashes: e.crashes, Left: e.expires - now}
}

// Entries returns the contents that are suspect or in quarantine, sorted by team and hash.
func (t *Table) Entries(now time.Duration) []Entry {
	var all []Entry
	for id, e := range t.entries {
		if e.status != Normal {
			all = append(all, t.Get(now, id))
		}
	}
	slices.SortFunc(all, func(a, b Entry) int {
		return cmp.Or(strings.Compare(a.ID.Team, b.ID.Team), cmp.Compare(a.ID.Hash, b.ID.Hash))
	})
	return all
}

func (t *Table) notice(now time.Duration, id ContentID, e *entry) Notice {
	return Notice{ID: id, Status: e.status, Version: e.version, Left: e.expires - now}
}

// Notices returns the notices that bring a router up to date after a start or a network
// partition: those of contents in quarantine and of contents that were cleared.
func (t *Table) Notices(now time.Duration) []Notice {
	var all []Notice
	for id, e := range t.entries {
		if e.replicated() {
			all = append(all, t.notice(now, id, e))
		}
	}
	return all
}

// replicated reports whether the entry is part of the digest and is sent again to routers
// that missed its notice.
func (e *entry) replicated() bool {
	return e.status == Quarantined || e.status == Normal && e.version > 0
}

// Len returns the number of entries.
func (t *Table) Len() int { return len(t.entries) }
