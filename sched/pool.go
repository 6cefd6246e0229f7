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
	// interval is the learned time between two ends here, in seconds; it tells
	// how long a queue takes to drain.
	interval  float64
	lastEndAt time.Time
	// granted is set when slots came from a home since the last look.
	granted bool
}

// upstream is one upstream as this router sees it.
type upstream struct {
	Upstream
	holding *lease.Holder
	// book is set while this router is the upstream's home.
	book  *lease.Table
	limit *limits.AdaptiveLimit
	load  limits.Load
	// loadAt is when load came.
	loadAt time.Time
	// prefix is the last prompt start sent from here, a hint of what the
	// engine's prefix cache holds.
	prefix uint64
	// avoidUntil is when an upstream that failed is tried again.
	avoidUntil time.Time
}

// intervalWindow is the weight of one more end in the learned interval.
const intervalWindow = 0.1

// ended learns the time between ends.
func (p *pool) ended(now time.Time) {
	if !p.lastEndAt.IsZero() {
		p.interval += intervalWindow * (now.Sub(p.lastEndAt).Seconds() - p.interval)
	}
	p.lastEndAt = now
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
	return u.holding.Idle(now)
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
		if r.PrefixHash != 0 && u.prefix == r.PrefixHash && u.ID != r.AvoidUpstream {
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

// anyIdle returns the upstream with most idle slots.
func (p *pool) anyIdle(now time.Time) *upstream { return p.pick(now, &Request{}) }

// running counts the requests of the pool that hold a slot here.
func (p *pool) running() int {
	n := 0
	for _, u := range p.upstreams {
		n += u.holding.InUse()
	}
	return n
}
