package dispatch

import "time"

// handOver hands a request for which the group has no room over to another group, if one has reported
// enough. It returns false if the request must be refused.
func (c *Core) handOver(now time.Duration, j *job, candidate choice) bool {
	if !c.cfg.Handover || j.HandedOver || j.continuesStream() || j.overShare() {
		return false
	}
	c.elsewhere.soughtAt = now
	source := c.longestCached(now, j)
	group, ok := c.elsewhere.choose(now, sessionOf(&j.Request), c.costElsewhere(now, j, source), j.overShare())
	if !ok {
		return false
	}
	c.counts.HandedOver++
	c.shares.withdraw(now, j)
	delete(c.jobs, j.Ticket)
	d := Decision{
		Ticket: j.Ticket, Verdict: Refuse, RetryAfter: minRetryAfter, HandOver: true, HandOverGroup: group, SinceFirstAttempt: j.sinceFirstAttempt, OverShare: j.overShare(),
		Details: c.refusalDetails(now, j, candidate.u),
	}
	if source != nil {
		d.CopyFrom = source.ID
	}
	c.decisions = append(c.decisions, d)
	return true
}

// longestCached returns the upstream of the group that has cached most of a prompt, nil if none has any
// of it.
func (c *Core) longestCached(now time.Duration, j *job) *upstream {
	var best *upstream
	longest := 0
	for _, u := range c.upstreams {
		if cached := u.cache.cachedPrefix(j.Parts); cached > longest && now >= u.bannedUntil {
			best, longest = u, cached
		}
	}
	return best
}

// costElsewhere returns the expected cost of a request at another group, which copies the parts that
// source has cached; source may be nil.
func (c *Core) costElsewhere(now time.Duration, j *job, source *upstream) time.Duration {
	switch {
	case len(c.upstreams) == 0:
		return c.cfg.BacklogWindow
	case !c.cfg.Engine:
		return time.Duration(c.currentAverages(now).serviceTime * float64(time.Millisecond))
	case source == nil:
		return c.upstreams[0].cost(&j.Request, 0, 0)
	}
	cached := source.cache.cachedPrefix(j.Parts)
	if source.CopyPerToken <= 0 || cached < c.cfg.MinCopyTokens {
		cached = 0
	}
	return source.cost(&j.Request, 0, cached)
}

// sessionOf returns the ID of the session's part of a prompt, the second to last, or the request's
// number.
func sessionOf(r *Request) uint64 {
	if len(r.Parts) < 2 {
		return r.Ticket.Seq
	}
	return r.Parts[len(r.Parts)-2].ID
}

// setCopySource lets an upstream of another group be the source of copies, if the request's cache hint
// names one and none of this group has the parts. The hint doesn't say which parts it has cached; they are
// taken for those of the session.
func (c *Core) setCopySource(j *job) {
	if !c.cfg.Handover || !c.cfg.Engine || j.CacheHint == "" || len(j.Parts) < 2 || c.byID[j.CacheHint] != nil {
		return
	}
	tokens := 0
	for _, p := range j.Parts[:len(j.Parts)-1] {
		tokens += p.Tokens
	}
	j.foreignSource, j.foreignTokens = &upstream{Member: Member{Incarnation: Incarnation{ID: j.CacheHint}}}, tokens
}

// planForeignCopy returns a plan that copies from the request's source in another group, if that is
// faster than the given one.
func (c *Core) planForeignCopy(p prefillPlan, u *upstream, j *job, cached int) prefillPlan {
	copied := j.foreignTokens - cached
	if j.foreignSource == nil || u.CopyPerToken <= 0 || copied < c.cfg.MinCopyTokens {
		return p
	}
	if cost := u.cost(&j.Request, cached, copied); cost < p.cost {
		return prefillPlan{cost: cost, source: j.foreignSource}
	}
	return p
}
