package resumption

import "time"

const (
	// retention is the minimum time for which a record is kept, unless more than maxRecords follow
	// within it. It is several times the longest timeout of a route in use, 15 s.
	retention = time.Minute
	// maxRecords limits the records of one generation, of which there are two. 200 streams a second
	// fill one in 160 s; two full ones take 2.2 MB.
	maxRecords = 1 << 15
)

// Table records the origins of streams. Streams are recorded once an upstream has started to answer,
// so requests that are refused don't fill it; if it is full, the oldest records go, and their
// streams can't be continued.
type Table struct {
	current, previous map[StreamID]*Origin
	rotatedAt         time.Duration
	// shared has one copy of each origin, since few differ.
	shared map[Origin]*Origin
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{current: map[StreamID]*Origin{}, shared: map[Origin]*Origin{}}
}

// Record records the origin of a stream. If another one is recorded already, the caller has used the
// ID of an attempt twice, and the version counts as unknown from then on.
func (t *Table) Record(now time.Duration, id StreamID, origin Origin) {
	t.rotate(now)
	if known, found := t.Lookup(id); found && known != origin {
		origin.Version = ""
	}
	shared := t.shared[origin]
	if shared == nil {
		shared = &origin
		t.shared[origin] = shared
	}
	t.current[id] = shared
}

// Lookup returns the origin of a stream.
func (t *Table) Lookup(id StreamID) (Origin, bool) {
	origin := t.current[id]
	if origin == nil {
		origin = t.previous[id]
	}
	if origin == nil {
		return Origin{}, false
	}
	return *origin, true
}

// Len returns the number of records.
func (t *Table) Len() int { return len(t.current) + len(t.previous) }

// rotate drops the older generation once the newer one is complete.
func (t *Table) rotate(now time.Duration) {
	if now-t.rotatedAt < retention && len(t.current) < maxRecords {
		return
	}
	t.previous, t.current = t.current, map[StreamID]*Origin{}
	t.rotatedAt = now
	t.shared = map[Origin]*Origin{}
}
