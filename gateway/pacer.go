package gateway

import "time"

// turns divide a processor between new connections and the work in hand. What is spent on
// new connections is followed by a pause that is as long, and a turn takes longestTurn at
// most. A pause is a sleep: the runtime polls the network only when no goroutine is
// runnable, and one that only yields stays runnable.
type turns struct {
	// began is when the turn began, spent what of it went to new connections.
	began, spent time.Duration
}

const (
	// longestTurn is short against the time after which a router counts as late.
	longestTurn = 2 * time.Millisecond
	// leastPause is the shortest sleep that timers tell from none.
	leastPause = time.Millisecond
)

// begin begins a turn after a pause, or when no connection waited.
func (t *turns) begin(now time.Duration) { *t = turns{began: now} }

// spend notes time spent on new connections, and returns how long to pause now: 0 while
// the turn goes on.
func (t *turns) spend(now, took time.Duration) time.Duration {
	t.spent += took
	if now-t.began < longestTurn {
		return 0
	}
	return max(t.spent, leastPause)
}
