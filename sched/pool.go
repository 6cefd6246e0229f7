package sched

import (
	"time"

	"github.com/aspenswitch/aspenswitch/fairness"
	"github.com/aspenswitch/aspenswitch/lease"
	"github.com/aspenswitch/aspenswitch/limits"
)

// pool is a set of upstreams that serve the same models or services, with the
// accounts and the queue of the teams that use them.
type pool struct {
	id        int
	accounts  *fairness.Accounts
	queue     *fairness.Queue[RequestID]
	upstreams []*upstream
	// finishInterval is the learned time between two completed requests here, in
	// seconds; it is used to estimate how long a queue takes to drain.
	finishInterval float64
	lastFinishAt   time.Time
	// grantsReceived is set when a home's grant was applied since recordGrants
	// last ran.
	grantsReceived bool
}

// upstream is the state of one upstream at this router.
type upstream struct {
	Upstream
	holder *lease.Holder
	// table is set while this router is the upstream's home.
	table *lease.Table
	limit *limits.AdaptiveLimit
	load  limits.Load
	// loadAt is when load was received.
	loadAt time.Time
	// lastPrefix is the last prefix hash sent from here, an indication of what
	// the engine's prefix cache holds.
	lastPrefix uint64
	// avoidUntil is when an upstream that failed may be used again.
	avoidUntil time.Time
}

// finishIntervalWeight is the weight of a new sample in the learned interval.
const finishIntervalWeight = 0.1

// observeFinish updates the learned time between completed requests.
func (p *pool) observeFinish(now time.Time) {
	if !p.lastFinishAt.IsZero() {
		p.finishInterval += finishIntervalWeight * (now.Sub(p.lastFinishAt).Seconds() - p.finishInterval)
	}
	p.lastFinishAt = now
}

// usable reports whether new requests may be sent to the upstream.
func (u *upstream) usable(now time.Time) bool {
	return !u.Draining && !now.Before(u.avoidUntil)
}

// idle returns the number of slots on which a request may be sent now.
func (u *upstream) idle(now time.Time) int {
	if !u.usable(now) {
		return 0
	}
	return u.holder.Idle(now)
}

// pick returns the upstream for a request: one that likely has its prefix
// cached, or else the one with the most idle slots. The prefix cache never makes
// a request wait, since only upstreams with an idle slot are considered.
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

// mostIdle returns the upstream with the most idle slots, or nil if no slot is
// idle.
func (p *pool) mostIdle(now time.Time) *upstream { return p.pick(now, &Request{}) }

// running returns the number of the pool's requests that hold a slot here.
func (p *pool) running() int {
	n := 0
	for _, u := range p.upstreams {
		n += u.holder.InUse()
	}
	return n
}
