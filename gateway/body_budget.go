package gateway

import (
	"sync"
	"time"
)

// bodyBudget bounds the bytes of the bodies that are held at the same time. Config.Fit counts
// IncludedBodyBytes of a body in RequestBytes; what a body takes beyond these is taken from the room
// of further requests. Requests with small bodies take none.
//
// A team may hold as much as it leaves free: one team alone gets half of the room, n teams 1/(n+1) each.
// Without this, the bodies of one team would leave no room for the requests of others.
type bodyBudget struct {
	mu sync.Mutex
	// capacity is the memory of all requests, in bytes.
	capacity int64
	// held is what all bodies take beyond IncludedBodyBytes, and byTeam what those of each team take.
	held   int64
	byTeam map[string]int64
	// holdTime is the moving average of how long bodies held their room.
	holdTime time.Duration
}

func newBodyBudget(requests int) *bodyBudget {
	return &bodyBudget{capacity: int64(requests) * RequestBytes, byTeam: map[string]int64{}, holdTime: defaultRetryAfter}
}

// full reports whether there is no room for one more request beside the given number.
func (b *bodyBudget) full(requests int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return (requests+1)*RequestBytes+b.held > b.capacity
}

// take takes n bytes for a team beside the given number of requests. It returns false, and takes
// nothing, if the team would hold more than it leaves free.
func (b *bodyBudget) take(team string, n, requests int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	free := b.capacity - requests*RequestBytes - b.held - n
	if b.byTeam[team]+n > free {
		return false
	}
	b.held += n
	b.byTeam[team] += n
	return true
}

// give returns n bytes of a team.
func (b *bodyBudget) give(team string, n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.held -= n
	if b.byTeam[team] -= n; b.byTeam[team] <= 0 {
		delete(b.byTeam, team)
	}
}

const (
	// holdTimeShare is the share of a new hold time in the moving average.
	holdTimeShare = 8
	// maxRoomRetryAfter limits the Retry-After delay of requests without room.
	maxRoomRetryAfter = 2 * time.Second
)

// recordHoldTime records how long a body held its room.
func (b *bodyBudget) recordHoldTime(d time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.holdTime += (d - b.holdTime) / holdTimeShare
}

// retryAfter returns the time after which room is expected.
func (b *bodyBudget) retryAfter() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return min(max(b.holdTime, defaultRetryAfter), maxRoomRetryAfter)
}
