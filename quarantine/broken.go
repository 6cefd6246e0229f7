package quarantine

import "time"

const (
	// BrokenTTL is how long an upstream incarnation counts as broken after it closed a
	// connection. The platform removes an upstream that has ended from its list within this time.
	BrokenTTL = 5 * time.Second
	// maxBrokenUpstreams limits the number of recorded upstreams. All are dropped when a new
	// one would exceed it.
	maxBrokenUpstreams = 4096
)

// BrokenUpstreams records the upstream incarnations that recently closed a connection while
// handling a request and haven't answered since.
type BrokenUpstreams struct {
	since map[uint32]time.Duration
}

// Record records that an upstream closed a connection. It returns false if the upstream was
// already recorded as broken.
func (b *BrokenUpstreams) Record(now time.Duration, upstream uint32) bool {
	if since, known := b.since[upstream]; known && now-since < BrokenTTL {
		return false
	}
	if b.since == nil || len(b.since) >= maxBrokenUpstreams {
		b.since = map[uint32]time.Duration{}
	}
	b.since[upstream] = now
	return true
}

// RecordSuccess records that an upstream has answered a request and is no longer broken.
func (b *BrokenUpstreams) RecordSuccess(upstream uint32) { delete(b.since, upstream) }

// BrokenBefore reports whether an upstream was recorded as broken less than BrokenTTL before a
// request was sent to it.
func (b *BrokenUpstreams) BrokenBefore(sent time.Duration, upstream uint32) bool {
	since, known := b.since[upstream]
	return known && since < sent && sent-since < BrokenTTL
}
