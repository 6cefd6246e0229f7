package standin

import (
	"sync"
	"time"
)

// warmUp is the warm-up state of a runner, during which it tolerates only a low request rate.
type warmUp struct {
	mu    sync.Mutex
	until time.Time
	// maxRate is the maximum number of requests in any second; one more crashes the runner.
	maxRate int
	// recentRuns are the start times of the requests of the last second.
	recentRuns []time.Time
}

// StartWarmUp makes the runner crash if it runs more than maxRate requests in any second before
// until.
func (r *Runner) StartWarmUp(until time.Time, maxRate int) {
	r.warmUp.mu.Lock()
	defer r.warmUp.mu.Unlock()
	r.warmUp.until, r.warmUp.maxRate, r.warmUp.recentRuns = until, maxRate, nil
}

// WarmUpLeft returns the remaining time of the warm-up.
func (r *Runner) WarmUpLeft() time.Duration {
	r.warmUp.mu.Lock()
	defer r.warmUp.mu.Unlock()
	return max(time.Until(r.warmUp.until), 0)
}

// exceedsRate counts a run and reports whether it exceeds the maximum rate.
func (w *warmUp) exceedsRate(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !now.Before(w.until) {
		return false
	}
	w.recentRuns = append(w.recentRuns, now)
	for now.Sub(w.recentRuns[0]) >= time.Second {
		w.recentRuns = w.recentRuns[1:]
	}
	return len(w.recentRuns) > w.maxRate
}
