package dispatch

import "time"

// choice is a possible upstream of a job.
type choice struct {
	u *upstream
	// first is the predicted time to the first byte; wait the part of it before
	// the upstream begins.
	first, wait time.Duration
	score       time.Duration
	plan        plan
	// admitted is set if the request would be in time.
	admitted bool
	// away is set if much of the prompt is cached elsewhere.
	away bool
}

// better reports whether a is the better choice: the least score. A request that
// would be late where its parts are cached goes elsewhere if few of them must be
// read again; if many, it is refused, since reading them again takes the time of
// several other requests and pushes out their parts.
func better(a, b choice) bool {
	if a.admitted != b.admitted && !a.away && !b.away {
		return a.admitted
	}
	return a.score < b.score
}

// best scores the upstreams.
func (c *Core) best(now time.Duration, j *job) (choice, bool) {
	plans := c.plans(now, j)
	least := time.Duration(0)
	for i, p := range plans {
		if i == 0 || p.cost < least {
			least = p.cost
		}
	}
	var found choice
	ok := false
	for i, u := range c.upstreams {
		if !c.eligible(now, u, j) {
			continue
		}
		u.touch(now)
		reread := plans[i].cost - least
		ch := c.weigh(now, u, j, plans[i].cost, reread)
		ch.plan = plans[i]
		ch.admitted = c.admit(now, j, ch)
		ch.away = reread > c.cfg.MaxRecompute
		if !ok || better(ch, found) {
			found, ok = ch, true
		}
	}
	return found, ok
}

func (c *Core) weigh(now time.Duration, u *upstream, j *job, cost, reread time.Duration) choice {
	wait := u.busyFor(now) + c.queued(u, j, cost, now)
	if !c.cfg.Engine {
		wait = c.plainWait(u, cost)
	} else if u.full(j.memory) {
		wait += slotWait
	}
	ch := choice{u: u, wait: wait, first: wait + cost}
	ch.score = ch.first +
		time.Duration(c.cfg.RecomputeWeight*float64(reread)) +
		time.Duration(u.use*float64(c.cfg.LoadPenalty)) +
		time.Duration(u.failingMore(now, c.usualOf(now))*float64(c.cfg.FailurePenalty)) +
		time.Duration(u.use*float64(j.Output)*float64(c.cfg.DecodePenalty)) +
		time.Duration(float64(u.running)/float64(max(u.Slots, 1))*float64(c.cfg.LoadPenalty))
	return ch
}

// slotWait is the wait for a running request to end at a full engine. Streams
// run for seconds, and dozens run at once.
const slotWait = 100 * time.Millisecond

// queued is the work that waits at the upstream and goes before the job; of two
// that are equal, the one that came first.
func (c *Core) queued(u *upstream, j *job, cost, now time.Duration) time.Duration {
	if len(u.queue) == 0 {
		return 0
	}
	probe := *j
	probe.cost = cost
	sum := time.Duration(0)
	for _, q := range u.queue {
		if !c.before(&probe, q, now) {
			sum += q.cost
		}
	}
	return sum
}

// plainWait is the wait for a slot of a plain service.
func (c *Core) plainWait(u *upstream, serviceTime time.Duration) time.Duration {
	over := u.running + len(u.queue) - u.Slots + 1
	if over <= 0 {
		return 0
	}
	return time.Duration(over) * serviceTime / time.Duration(max(u.Slots, 1))
}
