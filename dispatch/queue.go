package dispatch

import (
	"slices"
	"time"
)

// ready reports whether the upstream takes a job now.
func (c *Core) ready(u *upstream, j *job, now time.Duration) bool {
	if u.full(j.memory) || u.cache.beingRead(now, j.Parts, c.cfg.MinAwaitTokens) {
		return false
	}
	if !c.cfg.Engine {
		return true
	}
	u.touch(now)
	return u.busyFor(now) < c.cfg.BacklogWindow
}

// readyAheadOf reports whether a waiting job that could go now goes before j.
func (c *Core) readyAheadOf(u *upstream, j *job, now time.Duration) bool {
	for _, q := range u.queue {
		if c.before(q, j, now) && c.ready(u, q, now) {
			return true
		}
	}
	return false
}

// drain sends what waits for an upstream, as far as it has room.
func (c *Core) drain(now time.Duration, u *upstream) {
	if u.warming(now) {
		c.replaceQueue(now, u)
		return
	}
	for {
		next := c.next(now, u)
		if next < 0 {
			c.takeOver(now, u)
			return
		}
		j := u.queue[next]
		u.queue = slices.Delete(u.queue, next, next+1)
		// What is cached where has changed while the request waited.
		p := c.planFor(now, u, j)
		j.cost, j.copyFrom = p.cost, p.from
		c.send(now, u, j, 0)
	}
}

// takeOver sends what waits for other upstreams of a plain service to one that has
// room. Requests wait for the upstream that looked best when they came; which one
// is free first can't be told then, and a free slot beside a waiting request is
// time that its caller waits for nothing.
func (c *Core) takeOver(now time.Duration, u *upstream) {
	if c.cfg.Engine || now < u.banned {
		return
	}
	for !u.full(0) {
		from := c.waitingFor(now, u)
		if from == nil {
			return
		}
		j := from.queue[0]
		from.queue = from.queue[1:]
		j.cost = u.serviceTime(now, c.usualOf(now))
		c.send(now, u, j, 0)
	}
}

// worseBy is how much more an upstream may fail, as a part of its requests, for
// others' waiting requests to go there. Of those that wait some ten in a hundred
// would be late; one that fails more loses more than it saves.
const worseBy = 0.1

// waitingFor is an upstream whose first waiting job should rather go to u, nil if
// there is none.
func (c *Core) waitingFor(now time.Duration, u *upstream) *upstream {
	usual := c.usualOf(now)
	failing := u.failingMore(now, usual)
	var found *upstream
	for _, o := range c.upstreams {
		if o == u || len(o.queue) == 0 || failing > o.failingMore(now, usual)+worseBy || slices.Contains(o.queue[0].Avoid, u.ID) || !inRegions(o.queue[0].Regions, u.Region) {
			continue
		}
		if found == nil || c.before(o.queue[0], found.queue[0], now) {
			found = o
		}
	}
	return found
}

// next is the index of the job that goes to the upstream next, -1 if none can.
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

// review refuses waiting jobs that will miss their target after all: jobs that
// came later and go before them have taken their place. Waiting on would only
// tell their callers later.
func (c *Core) review(now time.Duration, u *upstream) {
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
	start := u.busyFor(now)
	u.queue = slices.DeleteFunc(u.queue, func(j *job) bool {
		late := now+start > j.targetAt
		if j.cost < j.Target/2 {
			late = now+start+j.cost > j.targetAt+lateSlack
		}
		if !c.cfg.Engine {
			late = now > j.targetAt
		}
		if late {
			c.refuse(now, j, choice{u: u, first: j.Target + start})
			return true
		}
		start += j.cost
		return false
	})
}

// lateSlack is the error of the prediction that is borne before a waiting job
// is given up: some steps of an engine.
const lateSlack = 60 * time.Millisecond
