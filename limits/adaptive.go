// Package limits provides an adaptive concurrency limit for upstreams and load shedding for
// routers. It performs no I/O and starts no goroutines; the time is always an argument.
//
// An engine admits requests in order of arrival, so requests in its own queue no longer follow
// the scheduler's order. AdaptiveLimit keeps that queue empty by following the engine's load
// reports: additive increase while the queue is empty, multiplicative decrease while it isn't
// (Chiu and Jain, 1989).
package limits

import "math"

// Load is an upstream's load report. It lags behind the actual load.
type Load struct {
	Running int `json:"running"`
	Queued  int `json:"queued"`
}

// decreaseFactor multiplies the limit after a report with queued requests.
const decreaseFactor = 0.9

// AdaptiveLimit is the concurrency limit of one upstream, adjusted by its load reports.
type AdaptiveLimit struct {
	// maxSlots is the number of slots configured in the bundle.
	maxSlots int
	current  float64
}

// NewAdaptiveLimit returns a limit that starts at the configured number of slots.
func NewAdaptiveLimit(maxSlots int) *AdaptiveLimit {
	return &AdaptiveLimit{maxSlots: maxSlots, current: float64(maxSlots)}
}

// SetMax changes the configured number of slots. An increase also resets the limit to it.
func (a *AdaptiveLimit) SetMax(maxSlots int) {
	if maxSlots > a.maxSlots {
		a.current = float64(maxSlots)
	}
	a.maxSlots = maxSlots
	a.current = min(a.current, float64(maxSlots))
}

// Observe adjusts the limit to a load report.
func (a *AdaptiveLimit) Observe(l Load) {
	if l.Queued > 0 {
		admitted := float64(max(l.Running, 1))
		a.current = max(1, min(admitted, a.current*decreaseFactor))
		return
	}
	a.current = min(a.current+1, float64(a.maxSlots))
}

// Limit returns the maximum number of concurrent requests. It is at least 1.
func (a *AdaptiveLimit) Limit() int { return int(math.Ceil(a.current)) }

// PartitionShare returns the part of the limit that one side of a network partition may use.
// It is proportional to the visible part of the listed VMs, or the slots that other requests
// leave free if those are more. othersRunning is the number of requests on the upstream that
// this side did not send.
//
// Without the proportional share, both sides would use every slot. Without the free slots,
// those of a side that has crashed would stay idle.
func (a *AdaptiveLimit) PartitionShare(visible, listed, othersRunning int) int {
	limit := a.Limit()
	if visible >= listed {
		return limit
	}
	share := (limit*visible + listed - 1) / listed
	return max(share, limit-othersRunning)
}
