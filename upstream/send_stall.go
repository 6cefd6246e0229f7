package upstream

import "time"

// sendState is the state of the data that is being sent on a connection.
type sendState struct {
	// waiting is set if some data hasn't been sent or acknowledged, and acked is the number of bytes that
	// have been acknowledged.
	waiting bool
	acked   uint64
	// sinceAck is the time since the peer last acknowledged anything, a probe of a closed window too.
	sinceAck time.Duration
}

// sendStall decides for how long data may wait before a connection ends. Its zero value knows nothing.
type sendStall struct {
	acked uint64
	// since is when data was last seen to be acknowledged.
	since time.Duration
}

// probeInterval is the longest time between two probes of a closed window: the kernel sends the next one
// no later than its timeout ends.
func probeInterval(base time.Duration) time.Duration { return base / 3 }

// userTimeout returns the timeout that a connection should have at a time, counted from its last progress,
// or 0 if the present one should stay. base is the timeout for a peer that is silent.
//
// A peer that acknowledges probes is alive, however long it doesn't read. One that stopped doing so loses the
// connection about base after its last acknowledgement, as without a closed window.
func (s *sendStall) userTimeout(now time.Duration, state sendState, base time.Duration) time.Duration {
	if !state.waiting || state.acked != s.acked {
		s.acked, s.since = state.acked, now
		return base
	}
	if state.sinceAck >= base-probeInterval(base)-windowCheckInterval {
		return 0
	}
	return max(base, now-s.since+probeInterval(base))
}
