package quarantine

import (
	"slices"
	"time"
)

// Table tracks crashes by key and derives the status of each. Every router keeps a
// table of the crashes that it observes; the hub responsible for a key also receives
// the crashes that other routers observe. Routers exchange status changes as notices. A
// Table isn't safe for concurrent use.
type Table struct {
	cfg     Config
	entries map[Key]*entry
	// perKind is the number of contents (false) and parts (true).
	perKind map[bool]int
	owners  map[owner]*ownerState
	view    *View
	digest  uint16
	// newlyQuarantinedAt is the latest quarantinedAt of the keys in quarantine that were not
	// harmless before, 0 if there is none.
	newlyQuarantinedAt time.Duration
	// stale is set if the view, the digest and newlyQuarantinedAt must be recomputed from the
	// entries.
	stale bool
}

// entry is the state of one key.
type entry struct {
	// team is the team whose request was the first to crash an upstream with the key.
	team    string
	status  Status
	version uint32
	// crashes is the number of consecutive crashes; upstreams are the most recent
	// incarnations among them.
	crashes   int
	upstreams []uint32
	lastCrash time.Duration
	// lastCrashNumber is the number of the last crash among those of its owner.
	lastCrashNumber uint32
	// clearedAt is when the key was last reset to Normal: by a response, an operator's
	// release or another router's notice.
	clearedAt time.Duration
	// wrong is how often a quarantine was cleared. proven is set if the key was harmless before
	// the quarantine.
	wrong  int
	proven bool
	// quarantinedAt is when the current quarantine began. failedTrials is the number of its failed
	// trials; the delay to the next one counts from trialDelayFrom.
	quarantinedAt  time.Duration
	failedTrials   int
	trialDelayFrom time.Duration
	// trialGrantedAt is when the pending trial was granted, or 0 if none is pending.
	trialGrantedAt time.Duration
	// expires is when the quarantine ends or, outside quarantine, when the entry is removed.
	expires time.Duration
}

// NewTable returns an empty table.
func NewTable(cfg Config) *Table {
	return &Table{cfg: cfg, entries: map[Key]*entry{}, perKind: map[bool]int{}, owners: map[owner]*ownerState{}, view: &View{}}
}

// RecordCrash records a crash. It returns a notice for the other routers if the status of
// the key has changed or a trial has failed.
//
// A crash interrupts every request on the upstream, so one crash doesn't show which request
// caused it. Only consecutive crashes of different incarnations count, with no success in
// between. The loss of a failure domain crashes many upstreams at once and counts as one crash
// (see Policy.BurstWindow). A failed trial counts even if the incarnation has crashed before.
func (t *Table) RecordCrash(now time.Duration, c Crash) (Notice, bool) {
	if !c.ID.Part {
		c.Team = c.ID.Team
	}
	e := t.entries[c.ID]
	number := t.crashOf(owner{team: c.Team, part: c.ID.Part}, c.Upstream)
	if e == nil {
		if t.isFull(owner{team: c.Team, part: c.ID.Part}) {
			return Notice{}, false
		}
		if e = t.add(c.ID, c.Team, outlived); e == nil {
			return Notice{}, false
		}
	}
	if e.team == c.Team {
		e.lastCrashNumber = number
	}
	policy := t.cfg.policy(c.ID)
	if c.Sent < e.clearedAt || policy.SentAfterLast && c.Sent < e.lastCrash {
		return Notice{}, false
	}
	if e.status == Quarantined {
		return t.recordFailedTrial(now, c, e)
	}
	if e.lastCrash > 0 && now < e.lastCrash+policy.BurstWindow {
		return Notice{}, false
	}
	if slices.Contains(e.upstreams, c.Upstream) {
		return Notice{}, false
	}
	e.upstreams = append(e.upstreams, c.Upstream)
	if len(e.upstreams) > policy.threshold(e.wrong) {
		e.upstreams = e.upstreams[1:]
	}
	e.crashes++
	e.lastCrash = now
	return t.updateStatus(now, c.ID, e)
}

// updateStatus derives the status from the number of crashes.
func (t *Table) updateStatus(now time.Duration, id Key, e *entry) (Notice, bool) {
	before, policy := e.status, t.cfg.policy(id)
	switch {
	case e.crashes >= policy.threshold(e.wrong):
		e.status, e.quarantinedAt = Quarantined, now
		t.scheduleQuarantine(now, e, t.cfg.QuarantineDuration)
	case policy.SuspectAfter > 0 && e.crashes >= policy.SuspectAfter:
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

// Clear resets a key to Normal after a response to a request with it has shown that it is
// harmless, or after an operator released it. It returns a notice for the other routers if
// the status has changed.
func (t *Table) Clear(now time.Duration, id Key) (Notice, bool) {
	e := t.entries[id]
	if e == nil {
		return Notice{}, false
	}
	changed := e.status != Normal
	if e.status == Quarantined {
		e.wrong++
	}
	e.reset(now)
	e.expires = now + t.cfg.EntryTTL
	t.stale = true
	if !changed {
		return Notice{}, false
	}
	e.version++
	return t.notice(now, id, e), true
}

// reset clears the crashes and sets clearedAt.
func (e *entry) reset(now time.Duration) {
	*e = entry{team: e.team, version: e.version, expires: e.expires, clearedAt: now, wrong: e.wrong}
}

// Apply merges a notice from another router. It reports whether the status of the key
// has changed.
func (t *Table) Apply(now time.Duration, n Notice) bool {
	if n.Status > Quarantined {
		return false
	}
	e := t.entries[n.ID]
	if e == nil {
		if e = t.add(n.ID, n.ID.Team, always); e == nil {
			return false
		}
	}
	if n.Version < e.version || n.Version == e.version && n.Status <= e.status {
		return false
	}
	before := e.status
	e.version = n.Version
	t.stale = true
	left := min(max(n.Left, 0), t.cfg.QuarantineDuration)
	switch n.Status {
	case Quarantined:
		e.crashes = max(e.crashes, t.cfg.policy(n.ID).QuarantineAfter)
		e.failedTrials = max(n.FailedTrials, 0)
		if before != Quarantined {
			e.quarantinedAt = now
		}
		t.scheduleQuarantine(now, e, left)
	case Suspect:
		e.crashes = max(e.crashes, t.cfg.policy(n.ID).SuspectAfter)
		// Prevents counting a crash twice: one that is recorded here later may already be
		// included in the notice.
		e.lastCrash = now
	default:
		if before == Quarantined {
			e.wrong++
		}
		e.reset(now)
	}
	e.status, e.expires = n.Status, now+left
	return e.status != before
}

// Touch keeps a part in quarantine for another QuarantineDuration, since a request with it has
// come. The quarantine of a content isn't prolonged: callers may repeat it for other reasons.
func (t *Table) Touch(now time.Duration, id Key) {
	if e := t.entries[id]; e != nil && id.Part && e.status == Quarantined {
		e.expires = max(e.expires, now+t.cfg.QuarantineDuration)
	}
}

// SetProven records that a quarantined key was harmless before: its trials come at shorter
// intervals. It returns a notice for the other routers if that was not known.
func (t *Table) SetProven(now time.Duration, id Key) (Notice, bool) {
	e := t.entries[id]
	if e == nil || e.status != Quarantined || e.proven {
		return Notice{}, false
	}
	e.proven = true
	t.stale = true
	return t.notice(now, id, e), true
}

// Expire removes expired entries, including those in quarantine.
func (t *Table) Expire(now time.Duration) {
	for id, e := range t.entries {
		if now >= e.expires {
			t.remove(id)
		}
	}
}

// Get returns the state of a key.
func (t *Table) Get(now time.Duration, id Key) Entry {
	e := t.entries[id]
	if e == nil {
		return Entry{ID: id}
	}
	return Entry{ID: id, Status: e.status, Crashes: e.crashes, FailedTrials: e.failedTrials, Left: e.expires - now}
}

// Entries returns the keys that are suspect or in quarantine: contents, then parts, sorted by
// team and hash.
func (t *Table) Entries(now time.Duration) []Entry {
	var all []Entry
	for id, e := range t.entries {
		if e.status != Normal {
			all = append(all, t.Get(now, id))
		}
	}
	slices.SortFunc(all, func(a, b Entry) int { return a.ID.Compare(b.ID) })
	return all
}

func (t *Table) notice(now time.Duration, id Key, e *entry) Notice {
	return Notice{ID: id, Status: e.status, Version: e.version, Left: e.expires - now, FailedTrials: e.failedTrials, Proven: e.proven}
}

// Notices returns the notices that bring a router up to date after a start or a network
// partition: those of keys in quarantine and of keys that were cleared.
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
