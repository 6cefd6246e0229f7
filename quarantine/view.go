package quarantine

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// View is an immutable snapshot of the statuses in a Table.
type View struct {
	// statuses has every key with a counted crash, including those with status Normal.
	statuses map[Key]Status
	// contents and parts are the numbers of keys of each kind.
	contents, parts int
}

// HasContents and HasParts report whether the view has keys of a kind, so that a lookup is
// needed.
func (v *View) HasContents() bool { return v != nil && v.contents > 0 }

// HasParts is described at HasContents.
func (v *View) HasParts() bool { return v != nil && v.parts > 0 }

// HasCrashes reports whether crashes are counted against the key, so that a success must be
// reported.
func (v *View) HasCrashes(id Key) bool {
	if v == nil {
		return false
	}
	_, found := v.statuses[id]
	return found
}

// Status returns the status of a key.
func (v *View) Status(id Key) Status {
	if v == nil {
		return Normal
	}
	return v.statuses[id]
}

// View returns a snapshot of the current statuses.
func (t *Table) View() *View {
	t.refresh()
	return t.view
}

// Digest returns a checksum of the replicated entries. Tables with the same replicated
// entries have the same digest; without any it is 0.
func (t *Table) Digest() uint16 {
	t.refresh()
	return t.digest
}

// refresh recomputes what depends on all entries if it is stale.
func (t *Table) refresh() {
	if !t.stale {
		return
	}
	t.stale = false
	t.view, t.digest, t.newlyQuarantinedAt = &View{statuses: map[Key]Status{}}, 0, 0
	for id, e := range t.entries {
		if e.crashes > 0 {
			t.view.add(id, e.status)
		}
		if e.replicated() {
			t.digest ^= e.digest(id)
		}
		if e.status == Quarantined && !e.proven {
			t.newlyQuarantinedAt = max(t.newlyQuarantinedAt, e.quarantinedAt)
		}
	}
}

func (v *View) add(id Key, status Status) {
	v.statuses[id] = status
	if id.Part {
		v.parts++
	} else {
		v.contents++
	}
}

func (e *entry) digest(id Key) uint16 {
	raw := binary.LittleEndian.AppendUint64(nil, id.Hash)
	raw = binary.LittleEndian.AppendUint32(raw, e.version)
	raw = append(raw, byte(e.status))
	if id.Part {
		raw = append(raw, PartTeam...)
	}
	return uint16(xxhash.Sum64(append(raw, id.Team...)))
}
