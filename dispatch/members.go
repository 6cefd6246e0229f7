package dispatch

import (
	"slices"
	"time"
)

// GrantWarmUp sets whether this core may send requests to upstreams that are warming up.
// Only the home of their group may, because the rate is bounded over all routers together.
func (c *Core) GrantWarmUp(granted bool) { c.warmUpGranted = granted }

// SetMembers replaces the upstreams of the group. Requests queued for a removed upstream
// are placed again.
//
// An upstream that restarted under the same ID is a new upstream: its cache, backlog,
// running requests, learnt performance and failure rate are reset. Otherwise requests would be
// sent to an upstream that has lost their cached parts, or wait behind work that is no
// longer running. Late completions of the earlier incarnation don't affect the new one.
func (c *Core) SetMembers(now time.Duration, members []Member) []Decision {
	c.locality.setMembers(members)
	c.severalVersions = slices.ContainsFunc(members, func(m Member) bool { return m.Version != members[0].Version })
	next := make([]*upstream, 0, len(members))
	byID := make(map[string]*upstream, len(members))
	for i, m := range members {
		u := c.byID[m.ID]
		if u == nil || !u.Same(m.Incarnation) {
			u = newUpstream(now, m, &c.cfg, &c.prefillYield, &c.groupFit)
		}
		u.Member, u.order = m, i
		u.warmUp.Rate, u.probing.Limit = m.WarmUpRate, m.RequestsPerProbe
		next = append(next, u)
		byID[m.ID] = u
	}
	previous := c.upstreams
	c.upstreams, c.byID = next, byID
	for _, u := range previous {
		if byID[u.ID] != u || u.warming(now) {
			c.requeue(now, u)
		}
	}
	return c.takeDecisions()
}

// requeue places the requests that wait for an upstream again.
func (c *Core) requeue(now time.Duration, u *upstream) {
	queue := u.queue
	u.queue = nil
	for _, j := range queue {
		j.upstream = nil
		c.place(now, j)
	}
}

// applyCacheHint uses the submitting router's cache hint if no cached part of the request
// is recorded here.
func (c *Core) applyCacheHint(r *Request) {
	u := c.byID[r.CacheHint]
	if u == nil || len(r.Parts) == 0 {
		return
	}
	for _, other := range c.upstreams {
		if other.cache.cachedPrefix(r.Parts) > 0 {
			return
		}
	}
	// The last part belongs to this request alone and is not cached yet.
	u.cache.insert(nil, r.Parts[:len(r.Parts)-1], u.KVTokens)
}

// sendQueuedToMember sends the requests that wait for an upstream, unless it was removed
// or has restarted. Such an upstream has no queue and must not steal requests that wait
// for others.
func (c *Core) sendQueuedToMember(now time.Duration, u *upstream) {
	if c.byID[u.ID] == u {
		c.sendQueued(now, u)
	}
}

// SeedCache adds the prompt parts that an upstream reports as cached. Without them a new
// home would count every prompt as uncached, refuse requests that could be served and
// spread sessions over the engines.
func (c *Core) SeedCache(incarnation Incarnation, parts []Part) {
	u := c.byID[incarnation.ID]
	if u == nil || !u.Same(incarnation) {
		return
	}
	for i := range parts {
		u.cache.insert(nil, parts[i:i+1], u.KVTokens)
	}
}

// AddInFlight adds a request that a router sent before this core became its home.
func (c *Core) AddInFlight(now time.Duration, r Request, incarnation Incarnation, hasStarted bool) {
	u := c.byID[incarnation.ID]
	if u == nil || !u.Same(incarnation) || c.jobs[r.Ticket] != nil {
		return
	}
	j := &job{Request: r, inherited: true, targetAt: now + r.Target, deadlineAt: now + r.Timeout, expiresAt: now + r.Timeout + time.Second}
	j.reservedKV = r.Output + max(r.Prompt-u.cache.cachedPrefix(r.Parts), 0)
	c.jobs[r.Ticket] = j
	j.cost = u.cost(&j.Request, u.cache.cachedPrefix(r.Parts), 0)
	u.adoptRequest()
	u.assign(j, now)
	if hasStarted {
		u.finishPrefill(j, now, false)
		u.throttle.addStream(j, 0)
		j.state = started
	}
}

// DropRouter cancels the requests of a router that has left the fleet.
func (c *Core) DropRouter(now time.Duration, router uint64) []Decision {
	c.cancelMatching(now, func(j *job) bool { return j.Ticket.Router == router })
	return c.takeDecisions()
}
