package quarantine

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// View is an immutable snapshot of the statuses in a Table.
type View struct {
	// statuses has every content with a counted crash, including those with status Normal.
	statuses map[Key]Status
}

// Empty reports whether the view has no contents, so that no lookup is needed.
func (v *View) Empty() bool { return v == nil || len(v.statuses) == 0 }

// HasCrashes reports whether crashes are counted against the content, so that a success
// must be reported.
func (v *View) HasCrashes(id Key) bool {
	if v == nil {
		return false
	}
	_, found := v.statuses[id]
	return found
}

// Status returns the status of a content.
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

// refresh recomputes the view and the digest if they are stale.
func (t *Table) refresh() {
	if !t.stale {
		return
	}
	t.stale = false
	t.view, t.digest = &View{statuses: map[Key]Status{}}, 0
	for id, e := range t.entries {
		if e.crashes > 0 {
			t.view.statuses[id] = e.status
		}
		if e.replicated() {
			t.digest ^= e.digest(id)
		}
	}
}

func (e *entry) digest(id Key) uint16 {
	raw := binary.LittleEndian.AppendUint64(nil, id.Hash)
	raw = binary.LittleEndian.AppendUint32(raw, e.version)
	raw = append(raw, byte(e.status))
	return uint16(xxhash.Sum64(append(raw, id.Team...)))
}
