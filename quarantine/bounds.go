package quarantine

import "cmp"

// owner is a team whose requests have keys of a kind in the table.
type owner struct {
	team string
	part bool
}

// ownerState is what the table records of an owner.
type ownerState struct {
	entries int
	// crashes is the number of crashes that interrupted its requests, as far as reports of one
	// aren't mixed with those of another; lastUpstream is the upstream of the last one.
	crashes      uint32
	lastUpstream uint32
	// fullAt is the number of the crash at which nothing could be evicted, 0 if there is none. It
	// saves a search for each further key of that crash.
	fullAt uint32
}

// crashOf returns the number of the crash of an upstream that interrupted requests of an owner.
func (t *Table) crashOf(own owner, upstream uint32) uint32 {
	o := t.owners[own]
	if o == nil {
		return 0
	}
	if o.lastUpstream != upstream {
		o.lastUpstream = upstream
		o.crashes++
	}
	return o.crashes
}

// isFull reports whether nothing could be evicted for a key of the same crash.
func (t *Table) isFull(own owner) bool {
	o := t.owners[own]
	return o != nil && o.fullAt != 0 && o.fullAt == o.crashes
}

// add creates an entry for a key in a request of a team, evicting another if necessary. It
// returns nil if none may be evicted.
//
// A team at its limit can only evict its own entries, so that a team with many crashing
// contents or parts doesn't displace those of other teams. Contents and parts don't displace
// each other.
func (t *Table) add(id Key, team string, evictable func(*entry, *ownerState) bool) *entry {
	own := owner{team: team, part: id.Part}
	if e := t.tryAdd(id, own, evictable); e != nil {
		return e
	}
	if o := t.owners[own]; o.entries > 0 {
		o.fullAt = o.crashes
	} else {
		delete(t.owners, own)
	}
	return nil
}

func (t *Table) tryAdd(id Key, own owner, evictable func(*entry, *ownerState) bool) *entry {
	if t.owners[own] == nil {
		t.owners[own] = &ownerState{crashes: 1}
	}
	eligible := func(other Key, e *entry) bool {
		return other.Part == id.Part && evictable(e, t.owners[owner{team: e.team, part: other.Part}])
	}
	switch {
	case t.owners[own].entries >= t.cfg.MaxPerTeam:
		if !t.evict(func(other Key, e *entry) bool { return e.team == own.team && eligible(other, e) }) {
			return nil
		}
	case t.perKind[id.Part] >= t.cfg.MaxEntries:
		if !t.evict(eligible) {
			return nil
		}
	}
	if t.owners[own] == nil {
		t.owners[own] = &ownerState{crashes: 1} // its last entry was evicted
	}
	e := &entry{team: own.team}
	t.entries[id] = e
	t.perKind[id.Part]++
	t.owners[own].entries++
	return e
}

// outlived reports whether a crash has passed without an entry. A key that crashes upstreams is in
// each crash: if a crash interrupts more keys than there is room for, keys of the crash before must
// stay until those that come again are known.
func outlived(e *entry, o *ownerState) bool { return o.crashes-e.lastCrashNumber > 1 }

func always(*entry, *ownerState) bool { return true }

// evict removes the eligible entry with the least evidence against it. It never removes an
// entry in quarantine, and returns false if there is no other.
func (t *Table) evict(eligible func(Key, *entry) bool) bool {
	var victim Key
	var weakest *entry
	for id, e := range t.entries {
		if e.status != Quarantined && (weakest == nil || e.compare(weakest) < 0) && eligible(id, e) {
			victim, weakest = id, e
		}
	}
	if weakest == nil {
		return false
	}
	t.remove(victim)
	return true
}

// compare orders entries by status, then number of crashes, then time of the last crash.
func (e *entry) compare(o *entry) int {
	return cmp.Or(cmp.Compare(e.status, o.status), cmp.Compare(e.crashes, o.crashes), cmp.Compare(e.lastCrash, o.lastCrash))
}

func (t *Table) remove(id Key) {
	t.stale = true
	own := owner{team: t.entries[id].team, part: id.Part}
	delete(t.entries, id)
	t.perKind[id.Part]--
	if t.owners[own].entries--; t.owners[own].entries == 0 {
		delete(t.owners, own)
	}
}
