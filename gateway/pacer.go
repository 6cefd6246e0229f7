package gateway

import "time"

// pacer divides the processor time between accepting connections and the other work of the
// process. Connections are accepted in time slices of at most maxSlice, each followed by a
// pause that is as long as the time spent on them. The pause is a sleep, since the runtime
// polls the network only when no goroutine is runnable, and a goroutine that merely yields
// stays runnable.
type pacer struct {
	// sliceStart is when the time slice started, used is how much of it was spent on new
	// connections.
	sliceStart, used time.Duration
}

const (
	// maxSlice is short compared to the lag above which a router counts as overloaded.
	maxSlice = 2 * time.Millisecond
	// maxOperationTime limits the time that counts for one operation, the accepting of a connection
	// or the refusal of a batch. A VM with a fifth of a core takes 3 ms for a batch. An operation
	// that took longer waited for the processor, which the pause must not last as long again: a
	// router on a busy host would accept and refuse the fewest connections when it gets the least
	// of the processor.
	maxOperationTime = 5 * time.Millisecond
	// minPause is the minimum pause. Timers don't reliably distinguish a shorter sleep from
	// no sleep.
	minPause = time.Millisecond
)

// startSlice starts a new time slice, after a pause or when no connection was waiting.
func (p *pacer) startSlice(now time.Duration) { *p = pacer{sliceStart: now} }

// recordUse records the time of an operation on new connections and returns how long to pause
// now: 0 while the time slice lasts.
func (p *pacer) recordUse(now, took time.Duration) time.Duration {
	p.used += min(took, maxOperationTime)
	if now-p.sliceStart < maxSlice {
		return 0
	}
	return max(p.used, minPause)
}
