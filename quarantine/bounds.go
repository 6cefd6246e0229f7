package quarantine

import "cmp"

// add creates an entry, evicting another if necessary. It returns nil if every entry that
// could be evicted is in quarantine.
//
// A team at its limit can only evict its own entries, so that a team with many crashing
// contents doesn't displace those of other teams.
func (t *Table) add(id Key) *entry {
	switch {
	case t.perTeam[id.Team] >= t.cfg.MaxPerTeam:
		if !t.evict(func(other Key) bool { return other.Team == id.Team }) {
			return nil
		}
	case len(t.entries) >= t.cfg.MaxEntries:
		if !t.evict(func(Key) bool { return true }) {
			return nil
		}
	}
	e := &entry{}
	t.entries[id] = e
	t.perTeam[id.Team]++
	return e
}

// evict removes the eligible entry with the least evidence against it. It never removes an
// entry in quarantine, and returns false if there is no other.
func (t *Table) evict(eligible func(Key) bool) bool {
	var victim Key
	var weakest *entry
	for id, e := range t.entries {
		if eligible(id) && e.status != Quarantined && (weakest == nil || e.compare(weakest) < 0) {
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
	delete(t.entries, id)
	if t.perTeam[id.Team]--; t.perTeam[id.Team] == 0 {
		delete(t.perTeam, id.Team)
	}
}
