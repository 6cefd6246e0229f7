package sched

import (
	"time"

	"github.com/aspenswitch/aspenswitch/fairness"
	"github.com/aspenswitch/aspenswitch/lease"
	"github.com/aspenswitch/aspenswitch/limits"
)

// pool is the upstreams that serve the same models or services, with the
// accounts and the queue of the teams that use them.
type pool struct {
	id        int
	accounts  *fairness.Accounts
	queue     *fairness.Queue[RequestID]
	upstreams []*upstream
	// finishInterval is the learned time between two ends here, in seconds; it tells
	// how long a queue takes to drain.
	finishInterval float64
	lastFinishAt   time.Time
	// grantsReceived is set when slots came from a home since the last look.
	grantsReceived bool
}

// upstream is one upstream as this router sees it.
type upstream struct {
	Upstream
	holder *lease.Holder
	// table is set while this router is the upstream's home.
	table *lease.Table
	limit *limits.Adaptive
	load  limits.Load
	// loadAt is when load came.
	loadAt time.Time
	// lastPrefix is the last prompt start sent from here, a hint of what the
	// engine's lastPrefix cache holds.
	lastPrefix uint64
	// avoidUntil is when an upstream that failed is tried again.
	avoidUntil time.Time
}

// finishIntervalWeight is the weight of one more end in the learned interval.
const finishIntervalWeight = 0.1

// observeFinish learns the time between ends.
func (p *pool) observeFinish(now time.Time) {
	if !p.lastFinishAt.IsZero() {
		p.finishInterval += finishIntervalWeight * (now.Sub(p.lastFinishAt).Seconds() - p.finishInterval)
	}
	p.lastFinishAt = now
}

// usable reports whether new work may be sent to the upstream.
func (u *upstream) usable(now time.Time) bool {
	return !u.Draining && !now.Before(u.avoidUntil)
}

// idle is the number of slots that a request may be sent on now.
func (u *upstream) idle(now time.Time) int {
	if !u.usable(now) {
		return 0
	}
	return u.holder.Idle(now)
}

// pick returns the upstream for a request: one that likely holds its prompt's
// start, else the one with most idle slots. A warm cache never makes a request
// wait, since only upstreams with an idle slot are looked at.
func (p *pool) pick(now time.Time, r *Request) *upstream {
	var best *upstream
	most := 0
	for _, u := range p.upstreams {
		n := u.idle(now)
		if n == 0 {
			continue
		}
		if r.PrefixHash != 0 && u.lastPrefix == r.PrefixHash && u.ID != r.AvoidUpstream {
			return u
		}
		if u.ID == r.AvoidUpstream {
			n = 1
		}
		if best == nil || n > most || best.ID == r.AvoidUpstream {
			best, most = u, n
		}
	}
	return best
}

// mostIdle returns the upstream with most idle slots.
func (p *pool) mostIdle(now time.Time) *upstream { return p.pick(now, &Request{}) }

// running counts the requests of the pool that hold a slot here.
func (p *pool) running() int {
	n := 0
	for _, u := range p.upstreams {
		n += u.holder.InUse()
	}
	return n
}
