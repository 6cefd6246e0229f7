// Package limits learns how many requests an upstream takes at once before it
// queues them itself.
//
// An engine admits requests as they come, so whatever waits in its own queue is
// out of the scheduler's order. The limit therefore follows the engine's load
// report: additive increase while its queue is empty, multiplicative decrease
// when it is not (Chiu and Jain, 1989). The package is pure.
package limits

import "math"

// Load is an upstream's own report, which lags.
type Load struct {
	Running int `json:"running"`
	Queued  int `json:"queued"`
}

// decrease is what remains of the limit after a report of a queue.
const decrease = 0.9

// AdaptiveLimit is the learned limit of one upstream.
type AdaptiveLimit struct {
	// most is the number of slots that the bundle gives.
	most    int
	current float64
}

// NewAdaptiveLimit returns a limit that begins at the bundle's number of slots.
func NewAdaptiveLimit(most int) *AdaptiveLimit {
	return &AdaptiveLimit{most: most, current: float64(most)}
}

// SetMax changes the bundle's number of slots.
func (a *AdaptiveLimit) SetMax(most int) {
	if most > a.most {
		a.current = float64(most)
	}
	a.most = most
	a.current = min(a.current, float64(most))
}

// Observe takes in a load report.
func (a *AdaptiveLimit) Observe(l Load) {
	if l.Queued > 0 {
		admitted := float64(max(l.Running, 1))
		a.current = max(1, min(admitted, a.current*decrease))
		return
	}
	a.current = min(a.current+1, float64(a.most))
}

// Limit is the number of requests that the upstream takes at once.
func (a *AdaptiveLimit) Limit() int { return int(math.Ceil(a.current)) }

// PartitionShare is the part of the limit that one side of a cut fleet may use: its
// share of the listed VMs, or all that foreign requests leave, whichever is
// more. foreign is what the upstream runs that this side did not send.
//
// Without the first part both halves would use every slot; without the second
// a half whose other side has crashed would leave its slots idle.
func (a *AdaptiveLimit) PartitionShare(visible, listed, foreign int) int {
	limit := a.Limit()
	if visible >= listed {
		return limit
	}
	part := (limit*visible + listed - 1) / listed
	return max(part, limit-foreign)
}
