package standin

import (
	"sync"
	"time"
)

// warmUp is the state of a runner that tolerates few requests for a while.
type warmUp struct {
	mu    sync.Mutex
	until time.Time
	// most is how many requests it runs in any second; one more crashes it.
	most int
	runs []time.Time
}

// StartWarmUp makes the runner crash, until a moment, when it runs more than most requests in a
// second.
func (r *Runner) StartWarmUp(until time.Time, most int) {
	r.warmUp.mu.Lock()
	defer r.warmUp.mu.Unlock()
	r.warmUp.until, r.warmUp.most, r.warmUp.runs = until, most, nil
}

// WarmUpLeft returns how much longer the runner warms up.
func (r *Runner) WarmUpLeft() time.Duration {
	r.warmUp.mu.Lock()
	defer r.warmUp.mu.Unlock()
	return max(time.Until(r.warmUp.until), 0)
}

// overloaded counts a run and reports whether it is one too many.
func (w *warmUp) overloaded(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !now.Before(w.until) {
		return false
	}
	w.runs = append(w.runs, now)
	for now.Sub(w.runs[0]) >= time.Second {
		w.runs = w.runs[1:]
	}
	return len(w.runs) > w.most
}
