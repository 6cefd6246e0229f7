package dispatch

import (
	"cmp"
	"slices"
	"time"
)

// Core decides for one group of upstreams. It isn't safe for concurrent use.
type Core struct {
	cfg       Config
	upstreams []*upstream
	byID      map[string]*upstream
	jobs      map[Ticket]*job
	teams     *shares
	out       []Decision
	sweepAt   time.Duration
	// overLeft is overUse at overAt.
	overLeft float64
	overAt   time.Duration
	counts   Counts
	usual    usual
	returns  returns
	yield    yield
}

// New returns a core without upstreams.
func New(cfg Config) *Core {
	return &Core{cfg: cfg, byID: map[string]*upstream{}, jobs: map[Ticket]*job{}, teams: newShares(cfg.ShareWindow)}
}

// SetCapacity sets what the group's upstreams yield, in tokens a second.
func (c *Core) SetCapacity(tokensPerSecond float64) { c.teams.capacity = tokensPerSecond }

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
		next = append(next, u)
		byID[m.ID] = u
	}
	old := c.upstreams
	c.upstreams, c.byID = next, byID
	for _, u := range old {
		if byID[u.ID] == u {
			continue
		}
		for _, j := range u.queue {
			j.upstream = nil
			c.place(now, j)
		}
		u.queue = nil
	}
	return c.take()
}

// take returns the decisions made since the last call.
func (c *Core) take() []Decision {
	out := c.out
	c.out = nil
	return out
}

// Ask decides on a request. Asking again for one that is known changes nothing
// and repeats the decision: the answer may have been lost.
func (c *Core) Ask(now time.Duration, r Request) []Decision {
	if j := c.jobs[r.Ticket]; j != nil {
		d := Decision{Ticket: r.Ticket, Verdict: Wait}
		if j.state != waiting {
			d.Verdict, d.Upstream = Send, j.upstream.ID
			if j.copyFrom != nil {
				d.CopyFrom = j.copyFrom.ID
			}
		}
		c.out = append(c.out, d)
		return c.take()
	}
	j := c.newJob(now, r)
	j.memory = r.Output
	c.warm(&j.Request)
	c.charge(now, j)
	c.teams.use = c.meanUse(now) / c.teams.known(now, useWindow)
	j.standing = c.teams.standing(now, r.Team)
	c.counts.Asked++
	c.jobs[r.Ticket] = j
	c.place(now, j)
	return c.take()
}

// meanUse is the part of the time in which upstreams had unread work.
func (c *Core) meanUse(now time.Duration) float64 {
	sum, n := 0.0, 0
	for _, u := range c.upstreams {
		if now < u.banned {
			continue
		}
		u.touch(now)
		sum += u.use
		n++
	}
	return sum / float64(max(n, 1))
}

// newJob begins a job. The target of a caller that comes back counts from its first
// attempt.
func (c *Core) newJob(now time.Duration, r Request) *job {
	j := &job{Request: r, askedAt: now, deadlineAt: now + r.Left, expires: now + r.Left + time.Second}
	j.waited = c.returns.waited(now, &r)
	j.Target -= j.waited
	j.targetAt = now + j.Target
	return j
}

// generatedWeight is what a generated token counts against one of the prompt, in
// teams' shares.
const generatedWeight = 2

// Tokens is what a request counts in its team's share.
func Tokens(r *Request) float64 { return float64(r.Prompt) + generatedWeight*float64(r.Output) }

// charge notes what a request asks for. A team is charged for its whole prompt,
// cached or not: where its parts are cached is our doing, and a team whose
// sessions happen to be warm would else take more of what is scarce.
func (c *Core) charge(now time.Duration, j *job) {
	kept := 0
	for _, u := range c.upstreams {
		kept = max(kept, u.cache.kept(j.Parts))
	}
	j.tokens = Tokens(&j.Request)
	j.memory = max(j.Prompt-kept, 0) + j.Output
	c.teams.ask(now, j.Ticket.Router, j.Team, j.tokens)
}

// warm believes the asker about where parts are cached if this core knows
// nothing of them.
func (c *Core) warm(r *Request) {
	u := c.byID[r.Warm]
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

// place finds the best upstream and sends, queues or refuses.
func (c *Core) place(now time.Duration, j *job) {
	best, ok := c.best(now, j)
	if !ok {
		c.refuse(now, j, choice{first: time.Second})
		return
	}
	if !best.admitted {
		c.refuse(now, j, best)
		return
	}
	if c.ready(best.u, j, now) && !c.readyAheadOf(best.u, j, now) {
		j.cost, j.copyFrom = best.plan.cost, best.plan.from
		c.send(now, best.u, j, best.first)
		return
	}
	j.upstream = best.u
	j.cost, j.copyFrom = best.plan.cost, best.plan.from
	best.u.queue = append(best.u.queue, j)
	c.out = append(c.out, Decision{Ticket: j.Ticket, Verdict: Wait, Wait: best.first})
}

func (c *Core) send(now time.Duration, u *upstream, j *job, wait time.Duration) {
	u.take(j, now)
	c.counts.Sent++
	c.teams.serve(now, j.Team, j.tokens)
	d := Decision{
		Ticket: j.Ticket, Verdict: Send, Upstream: u.ID, Wait: wait, Waited: j.waited, Over: j.over(),
		Allowance: c.teams.allowance(now, j.Ticket.Router, j.Team),
	}
	if j.copyFrom != nil {
		d.CopyFrom = j.copyFrom.ID
	}
	c.out = append(c.out, d)
}

// Started notes that the first byte of an answer came.
func (c *Core) Started(now time.Duration, t Ticket) []Decision {
	j := c.jobs[t]
	if j == nil || j.state == waiting {
		return nil
	}
	j.upstream.started(j, now)
	c.drainMember(now, j.upstream)
	return c.take()
}

// Done notes that a request ended, wherever it was. took is the time from
// sending to the answer's end.
func (c *Core) Done(now time.Duration, t Ticket, o Outcome, took time.Duration) []Decision {
	c.done(now, t, o, took)
	return c.take()
}

func (c *Core) done(now time.Duration, t Ticket, o Outcome, took time.Duration) {
	j := c.jobs[t]
	if j == nil {
		return
	}
	delete(c.jobs, t)
	u := j.upstream
	if j.state == waiting {
		u.queue = slices.DeleteFunc(u.queue, func(q *job) bool { return q == j })
		return
	}
	u.ended(j, now, o, took)
	c.drainMember(now, u)
}

// drainMember sends what waits for an upstream, unless it has left or started again:
// nothing waits for it then, and it must not take over what waits for others.
func (c *Core) drainMember(now time.Duration, u *upstream) {
	if c.byID[u.ID] == u {
		c.drain(now, u)
	}
}

// Seed takes in what an upstream says that it keeps. A new home knows nothing of
// the caches; it would take every prompt for unread, refuse what could be served
// and scatter the sessions.
func (c *Core) Seed(from Incarnation, parts []Part) {
	u := c.byID[from.ID]
	if u == nil || !u.Same(from) {
		return
	}
	for i := range parts {
		u.cache.read(nil, parts[i:i+1], u.KVTokens)
	}
}

// Held takes in a request that a router sent before this core was its home.
func (c *Core) Held(now time.Duration, r Request, at Incarnation, begun bool) {
	u := c.byID[at.ID]
	if u == nil || !u.Same(at) || c.jobs[r.Ticket] != nil {
		return
	}
	j := &job{Request: r, targetAt: now + r.Target, deadlineAt: now + r.Left, expires: now + r.Left + time.Second}
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

// Drop forgets the requests of a router that is gone.
func (c *Core) Drop(now time.Duration, router uint64) []Decision {
	c.endAll(now, func(j *job) bool { return j.Ticket.Router == router })
	return c.take()
}

// endAll ends the requests that match, in the order of their tickets.
func (c *Core) endAll(now time.Duration, match func(*job) bool) {
	var over []Ticket
	for t, j := range c.jobs {
		if match(j) {
			over = append(over, t)
		}
	}
	slices.SortFunc(over, func(a, b Ticket) int {
		return cmp.Or(cmp.Compare(a.Router, b.Router), cmp.Compare(a.Seq, b.Seq))
	})
	for _, t := range over {
		c.done(now, t, Cancelled, 0)
	}
}

// sweepEvery is how often expired tickets are looked for: those whose end was
// lost on the way.
const sweepEvery = time.Second

// Tick sends what has become due and gives up what can't be served any more.
func (c *Core) Tick(now time.Duration) []Decision {
	for _, u := range c.upstreams {
		c.review(now, u)
		c.drain(now, u)
	}
	if now >= c.sweepAt {
		c.sweepAt = now + sweepEvery
		c.endAll(now, func(j *job) bool { return now > j.expires })
	}
	return c.take()
}

// Waiting reports whether any request waits, so that Tick is of use.
func (c *Core) Waiting() bool {
	for _, u := range c.upstreams {
		if len(u.queue) > 0 {
			return true
		}
	}
	return false
}
