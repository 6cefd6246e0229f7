package resumption

import (
	"math"
	"time"
)

// UnknownAge is the age of a stream of which nothing bounds the age.
const UnknownAge time.Duration = math.MaxInt64

// AgeBound bounds the age of the streams of one route. A caller may continue its stream several times and
// after pauses, each time at another router and with the route's whole timeout, but it stops waiting when
// the deadline is over that it stated with its first attempt. The longest deadline that callers state
// is therefore the age that a stream can reach.
type AgeBound struct {
	// current has the longest deadline of this generation and previous that of the one before, 0 if there
	// was no attempt.
	current, previous time.Duration
	rotatedAt         time.Duration
}

// Observe records the deadline that a caller stated with the first attempt of a stream, 0 if it stated
// none.
func (b *AgeBound) Observe(now, stated time.Duration) {
	b.rotate(now)
	if stated <= 0 {
		stated = UnknownAge
	}
	b.current = max(b.current, stated)
}

// Longest returns the longest deadline that was stated within the last minutes, UnknownAge if there was
// an attempt without one, or no attempt.
func (b *AgeBound) Longest(now time.Duration) time.Duration {
	b.rotate(now)
	if longest := max(b.current, b.previous); longest > 0 {
		return longest
	}
	return UnknownAge
}

// rotate begins a new generation each maxWindow: the history doesn't reach further back.
func (b *AgeBound) rotate(now time.Duration) {
	switch passed := now - b.rotatedAt; {
	case passed < maxWindow:
		return
	case passed < 2*maxWindow:
		b.previous = b.current
	default:
		b.previous = 0
	}
	b.current, b.rotatedAt = 0, now
}
