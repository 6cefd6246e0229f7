package dispatch

import "time"

// GrantWarmUp sets whether this core may send requests to upstreams that are warming up. Only
// the home of their group may, as their rate is bounded over all routers together.
func (c *Core) GrantWarmUp(granted bool) { c.warmUpGranted = granted }

// SetMembers replaces the group's upstreams. What waits for one that has gone
// is placed anew.
//
// One that has started again under its ID is a new upstream: what was believed of its
// caches, its unread and running work, its speed and its failures ends. Else requests
// would go where nothing of theirs is kept any more, and wait behind work that nobody
// does. Ends of the earlier start's requests that come late count there.
func (c *Core) SetMembers(now time.Duration, members []Member) []Decision {
	next := make([]*upstream, 0, len(members))
	byID := make(map[string]*upstream, len(members))
	for i, m := range members {
		u := c.byID[m.ID]
		if u == nil || !u.Same(m.Incarnation) {
			u = newUpstream(m, &c.cfg, &c.yield)
			u.useAt = now
		}
		u.Member, u.order = m, i
		u.warmUp.Rate = m.WarmUpRate
		next = append(next, u)
		byID[m.ID] = u
	}
	old := c.upstreams
	c.upstreams, c.byID = next, byID
	for _, u := range old {
		if byID[u.ID] != u || u.warming(now) {
			c.replaceQueue(now, u)
		}
	}
	return c.take()
}

// replaceQueue places anew what waits for an upstream.
func (c *Core) replaceQueue(now time.Duration, u *upstream) {
	queue := u.queue
	u.queue = nil
	for _, j := range queue {
		j.upstream = nil
		c.place(now, j)
	}
}

// warm believes the asker about where parts are cached if this core knows
// nothing of them.
func (c *Core) warm(r *Request) {
	u := c.byID[r.CacheHint]
	if u == nil || len(r.Parts) == 0 {
		return
	}
	for _, any := range c.upstreams {
		if any.cache.kept(r.Parts) > 0 {
			return
		}
	}
	// The last part is this request's own; it isn't there yet.
	u.cache.read(nil, r.Parts[:len(r.Parts)-1], u.KVTokens)
}

// drainMember sends what waits for an upstream, unless it has left or started again:
// nothing waits for it then, and it must not take over what waits for others.
func (c *Core) drainMember(now time.Duration, u *upstream) {
	if c.byID[u.ID] == u {
		c.drain(now, u)
	}
}

// SeedCache takes in what an upstream says that it keeps. A new home knows nothing of
// the caches; it would take every prompt for unread, refuse what could be served
// and scatter the sessions.
func (c *Core) SeedCache(from Incarnation, parts []Part) {
	u := c.byID[from.ID]
	if u == nil || !u.Same(from) {
		return
	}
	for i := range parts {
		u.cache.read(nil, parts[i:i+1], u.KVTokens)
	}
}

// AddInFlight takes in a request that a router sent before this core was its home.
func (c *Core) AddInFlight(now time.Duration, r Request, at Incarnation, begun bool) {
	u := c.byID[at.ID]
	if u == nil || !u.Same(at) || c.jobs[r.Ticket] != nil {
		return
	}
	j := &job{Request: r, targetAt: now + r.Target, deadlineAt: now + r.Timeout, expires: now + r.Timeout + time.Second}
	j.memory = r.Output + max(r.Prompt-u.cache.kept(r.Parts), 0)
	c.jobs[r.Ticket] = j
	j.cost = u.cost(&j.Request, u.cache.kept(r.Parts), 0)
	u.take(j, now)
	if begun {
		u.read(j, now)
		u.pace.begin(j, 0)
		j.state = started
	}
}

// DropRouter forgets the requests of a router that is gone.
func (c *Core) DropRouter(now time.Duration, router uint64) []Decision {
	c.endAll(now, func(j *job) bool { return j.Ticket.Router == router })
	return c.take()
}
