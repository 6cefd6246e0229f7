package gateway

import (
	"sync"
	"sync/atomic"
	"time"
)

// bodyRoom is the room that a body takes in the budget. It is given back when the last user of the body
// has ended: an upstream may respond long before it has read the body, and its bytes stay in memory until
// then.
type bodyRoom struct {
	budget *bodyBudget
	team   string
	bytes  int64
	since  time.Time
	users  atomic.Int64
}

// newBodyRoom returns room that has been taken, with one user.
func newBodyRoom(budget *bodyBudget, team string, bytes int64) *bodyRoom {
	r := &bodyRoom{budget: budget, team: team, bytes: bytes, since: time.Now()}
	r.users.Store(1)
	return r
}

// share adds a user. It returns the function that ends its use, which may be called repeatedly.
func (r *bodyRoom) share() (end func()) {
	r.users.Add(1)
	return sync.OnceFunc(r.end)
}

// end ends the use of one user.
func (r *bodyRoom) end() {
	if r.users.Add(-1) > 0 {
		return
	}
	r.budget.give(r.team, r.bytes)
	r.budget.recordHoldTime(time.Since(r.since))
}
