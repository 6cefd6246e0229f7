package fleet

import (
	"sync"

	"github.com/fxamacker/cbor/v2"

	"github.com/aspenswitch/aspenswitch/feed"
)

// stateCache holds the encoded states that were last sent to peers. Most routers of a failure
// domain fetch the same changes, or all upstreams, from their leader at the same time; encoding
// the state for each of them would take a small VM's processor for seconds and its memory with it.
// It is safe for concurrent use.
type stateCache struct {
	mu sync.Mutex
	// snapshot is the state that the entries encode.
	snapshot *feed.Snapshot
	entries  map[feed.StateVersion][]byte
}

// maxCachedStates limits the entries for one snapshot. Peers have few different versions.
const maxCachedStates = 8

// encode returns the encoded state for a peer that holds the known version, and its age in
// nanoseconds, which isn't part of the encoding. It returns nil if there is no state yet.
func (c *stateCache) encode(f *feed.Feed, known feed.StateVersion) (encoded []byte, ageNanos int64, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	// The age is read before the state, see feed.Feed.Export.
	ageNanos = int64(f.Age())
	if s := f.Snapshot(); s != c.snapshot || c.entries == nil {
		c.snapshot, c.entries = s, map[feed.StateVersion][]byte{}
	}
	if raw := c.entries[known]; raw != nil {
		return raw, ageNanos, nil
	}
	state := f.Export(known)
	if state == nil {
		return nil, 0, nil
	}
	ageNanos, state.AgeNanos = state.AgeNanos, 0
	state.SplitEpoch()
	raw, err := cbor.Marshal(state)
	if err != nil {
		return nil, 0, Error.Wrap(err)
	}
	// The remaining grace periods of lapsed upstreams shrink with time.
	if len(state.Lapsed) == 0 && len(c.entries) < maxCachedStates {
		c.entries[known] = raw
	}
	return raw, ageNanos, nil
}
