package dispatch

import "time"

// prefillPlan is how an upstream would process a prompt: the upstream from which cached
// parts are copied, if any, and the resulting cost without waiting (see job.cost).
type prefillPlan struct {
	cost   time.Duration
	source *upstream
}

// prefillPlans returns a plan for each upstream of the group, in order.
func (c *Core) prefillPlans(now time.Duration, j *job) []prefillPlan {
	if !c.cfg.Engine || len(c.upstreams) == 0 {
		return c.servicePlans(now)
	}
	cached := make([]int, len(c.upstreams))
	for i, u := range c.upstreams {
		cached[i] = u.cache.cachedPrefix(j.Parts)
	}
	source := c.copySource(now, cached, c.upstreams[0].Version)
	out := make([]prefillPlan, len(c.upstreams))
	for i, u := range c.upstreams {
		if c.severalVersions {
			source = c.copySource(now, cached, u.Version)
		}
		out[i] = c.planForeignCopy(c.planPrefill(u, &j.Request, cached[i], source, cached), u, j, cached[i])
	}
	return out
}

// servicePlans returns the plans for a plain service, which caches nothing.
func (c *Core) servicePlans(now time.Duration) []prefillPlan {
	out := make([]prefillPlan, len(c.upstreams))
	for i, u := range c.upstreams {
		out[i].cost = u.serviceTime(now, c.currentAverages(now))
	}
	return out
}

// planPrefillOn returns the plan for a single upstream.
func (c *Core) planPrefillOn(now time.Duration, u *upstream, j *job) prefillPlan {
	if !c.cfg.Engine {
		return prefillPlan{cost: u.serviceTime(now, c.currentAverages(now))}
	}
	cached := make([]int, len(c.upstreams))
	for i, other := range c.upstreams {
		cached[i] = other.cache.cachedPrefix(j.Parts)
	}
	own := u.cache.cachedPrefix(j.Parts)
	return c.planForeignCopy(c.planPrefill(u, &j.Request, own, c.copySource(now, cached, u.Version), cached), u, j, own)
}

// copySource returns the index of the upstream with a software version that isn't banned and has
// the longest cached prefix, or -1 if none has any of it. An upstream copies only from others of
// its own version: what two versions write doesn't fit together.
func (c *Core) copySource(now time.Duration, cached []int, version string) int {
	best := -1
	for i, u := range c.upstreams {
		if now < u.bannedUntil || cached[i] == 0 || u.Version != version {
			continue
		}
		if best < 0 || cached[i] > cached[best] {
			best = i
		}
	}
	return best
}

// planPrefill returns a plan that copies from source if that is faster than prefill alone.
//
// Copying leaves the engine free for other prompts. Without it a session is bound to one
// engine, or its whole prefix is computed again with each move.
func (c *Core) planPrefill(u *upstream, r *Request, cached, source int, allCached []int) prefillPlan {
	p := prefillPlan{cost: u.cost(r, cached, 0)}
	if source < 0 || u.CopyPerToken <= 0 {
		return p
	}
	copied := allCached[source] - cached
	if copied < c.cfg.MinCopyTokens {
		return p
	}
	if cost := u.cost(r, cached, copied); cost < p.cost {
		return prefillPlan{cost: cost, source: c.upstreams[source]}
	}
	return p
}
