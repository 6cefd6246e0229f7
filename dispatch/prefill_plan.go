package dispatch

import "time"

// plan is how an upstream would come by a prompt: what it keeps, what it copies
// from another, and how long it then works to the first byte.
type plan struct {
	cost time.Duration
	from *upstream
}

// plans makes one for each upstream of the group, in order.
func (c *Core) plans(now time.Duration, j *job) []plan {
	if !c.cfg.Engine {
		return c.plainPlans(now)
	}
	kept := make([]int, len(c.upstreams))
	for i, u := range c.upstreams {
		kept[i] = u.cache.kept(j.Parts)
	}
	donor := c.donor(now, kept)
	out := make([]plan, len(c.upstreams))
	for i, u := range c.upstreams {
		out[i] = c.plan(u, &j.Request, kept[i], donor, kept)
	}
	return out
}

// plainPlans are those of a service that keeps nothing.
func (c *Core) plainPlans(now time.Duration) []plan {
	out := make([]plan, len(c.upstreams))
	for i, u := range c.upstreams {
		out[i].cost = u.serviceTime(now, c.usualOf(now))
	}
	return out
}

// planFor makes one for a single upstream.
func (c *Core) planFor(now time.Duration, u *upstream, j *job) plan {
	if !c.cfg.Engine {
		return plan{cost: u.serviceTime(now, c.usualOf(now))}
	}
	kept := make([]int, len(c.upstreams))
	for i, other := range c.upstreams {
		kept[i] = other.cache.kept(j.Parts)
	}
	return c.plan(u, &j.Request, u.cache.kept(j.Parts), c.donor(now, kept), kept)
}

// donor is the reachable upstream that keeps most of a prompt, -1 if none does.
func (c *Core) donor(now time.Duration, kept []int) int {
	best := -1
	for i, u := range c.upstreams {
		if now < u.banned || kept[i] == 0 {
			continue
		}
		if best < 0 || kept[i] > kept[best] {
			best = i
		}
	}
	return best
}

// plan copies from the donor if that is faster than reading.
//
// Copying leaves the engine free for others meanwhile. Without it a session is bound to one
// engine or pays for reading its whole prefix at each move.
func (c *Core) plan(u *upstream, r *Request, kept, donor int, all []int) plan {
	p := plan{cost: u.cost(r, kept, 0)}
	if donor < 0 || u.CopyPerToken <= 0 {
		return p
	}
	more := all[donor] - kept
	if more < c.cfg.MinCopyTokens {
		return p
	}
	if cost := u.cost(r, kept, more); cost < p.cost {
		return plan{cost: cost, from: c.upstreams[donor]}
	}
	return p
}
