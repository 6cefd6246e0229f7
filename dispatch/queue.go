package dispatch

import (
	"slices"
	"time"
)

// ready reports whether the job can be sent to the upstream now.
func (c *Core) ready(u *upstream, j *job, now time.Duration) bool {
	if c.awaitsProbe(now, u) {
		return false
	}
	if u.full(j.reservedKV) || u.cache.prefillInProgress(now, j.Parts, c.cfg.MinAwaitTokens) {
		return false
	}
	if !c.cfg.Engine {
		return true
	}
	u.update(now)
	return u.prefillWait(now) < c.cfg.BacklogWindow
}

// readyAheadOf reports whether a queued job that is ready is sent before j.
func (c *Core) readyAheadOf(u *upstream, j *job, now time.Duration) bool {
	for _, q := range u.queue {
		if c.before(q, j, now) && c.ready(u, q, now) {
			return true
		}
	}
	return false
}

// sendQueued sends the queued jobs of an upstream as far as it has room.
func (c *Core) sendQueued(now time.Duration, u *upstream) {
	if u.warming(now) {
		c.requeue(now, u)
		return
	}
	for {
		next := c.next(now, u)
		if next < 0 {
			c.stealQueued(now, u)
			return
		}
		j := u.queue[next]
		u.queue = slices.Delete(u.queue, next, next+1)
		// The caches may have changed while the request waited.
		p := c.planPrefillOn(now, u, j)
		j.cost, j.copyFrom = p.cost, p.source
		c.send(now, u, j, 0)
	}
}

// stealQueued sends jobs queued for other upstreams of a plain service to one with free
// slots. A request is queued for the upstream that was best when it was submitted. It is
// not known then which upstream will be free first, and the request should not wait beside
// a free slot.
func (c *Core) stealQueued(now time.Duration, u *upstream) {
	if c.cfg.Engine || now < u.bannedUntil {
		return
	}
	for !u.full(0) && !c.awaitsProbe(now, u) {
		victim := c.stealVictim(now, u)
		if victim == nil {
			return
		}
		j := victim.queue[0]
		victim.queue = victim.queue[1:]
		j.cost = u.serviceTime(now, c.currentAverages(now))
		c.send(now, u, j, 0)
	}
}

// maxExcessFailureRate is the maximum difference in failure rate between an upstream that
// steals queued requests and the one it steals from. About 10 in 100 waiting requests
// would be late, so an upstream that fails more loses more requests than it saves.
const maxExcessFailureRate = 0.1

// stealVictim returns the upstream whose first queued job should move to u, or nil.
func (c *Core) stealVictim(now time.Duration, u *upstream) *upstream {
	averages := c.currentAverages(now)
	excess := u.excessFailureRate(now, averages)
	var found *upstream
	for _, other := range c.upstreams {
		if other == u || len(other.queue) == 0 || excess > other.excessFailureRate(now, averages)+maxExcessFailureRate || !u.accepts(&other.queue[0].Request) {
			continue
		}
		if found == nil || c.before(other.queue[0], found.queue[0], now) {
			found = other
		}
	}
	return found
}

// next returns the index of the queued job to send next, or -1 if none is ready.
func (c *Core) next(now time.Duration, u *upstream) int {
	next := -1
	for i, j := range u.queue {
		if next >= 0 && !c.before(j, u.queue[next], now) {
			continue
		}
		if c.ready(u, j, now) {
			next = i
		}
	}
	return next
}

// refuseLate refuses queued jobs that will miss their target because jobs submitted later
// went before them. Keeping them queued would only delay the refusal.
func (c *Core) refuseLate(now time.Duration, u *upstream) {
	if len(u.queue) == 0 {
		return
	}
	slices.SortStableFunc(u.queue, func(a, b *job) int {
		switch {
		case c.before(a, b, now):
			return -1
		case c.before(b, a, now):
			return 1
		}
		return 0
	})
	start, delay := u.prefillWait(now), u.learnt.delay
	u.queue = slices.DeleteFunc(u.queue, func(j *job) bool {
		late := now+start > j.targetAt
		if j.cost+delay < j.Target/2 {
			late = now+start+j.cost+delay > j.targetAt+predictionSlack
		}
		if !c.cfg.Engine {
			late = now > j.targetAt
		}
		if j.hasReservation() {
			late = j.missesDeadline(now, start, delay)
		}
		if late {
			c.refuse(now, j, choice{u: u, firstByte: j.Target + start, wait: start, plan: prefillPlan{cost: j.cost}})
			return true
		}
		start += j.cost
		return false
	})
}

// predictionSlack is the prediction error that is tolerated before a queued job is
// refused. It covers some steps of an engine.
const predictionSlack = 60 * time.Millisecond
