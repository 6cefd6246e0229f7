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
	// minPause is the minimum pause. Timers don't reliably distinguish a shorter sleep from
	// no sleep.
	minPause = time.Millisecond
)

// startSlice starts a new time slice, after a pause or when no connection was waiting.
func (p *pacer) startSlice(now time.Duration) { *p = pacer{sliceStart: now} }

// recordUse records time spent on new connections and returns how long to pause now: 0
// while the time slice lasts.
func (p *pacer) recordUse(now, took time.Duration) time.Duration {
	p.used += took
	if now-p.sliceStart < maxSlice {
		return 0
	}
	return max(p.used, minPause)
}
