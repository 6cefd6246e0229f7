package dispatch

import "time"

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
	// warmUpGranted is set while this core may send to upstreams that are warming up.
	warmUpGranted bool
}

// New returns a core without upstreams.
func New(cfg Config) *Core {
	return &Core{cfg: cfg, byID: map[string]*upstream{}, jobs: map[Ticket]*job{}, teams: newShares(cfg.ShareWindow)}
}

// SetCapacity sets what the group's upstreams yield, in tokens a second.
func (c *Core) SetCapacity(tokensPerSecond float64) { c.teams.capacity = tokensPerSecond }

// take returns the decisions made since the last call.
func (c *Core) take() []Decision {
	out := c.out
	c.out = nil
	return out
}

// Submit decides on a request. Asking again for one that is known changes nothing
// and repeats the decision: the answer may have been lost.
func (c *Core) Submit(now time.Duration, r Request) []Decision {
	if j := c.jobs[r.Ticket]; j != nil {
		d := Decision{Ticket: r.Ticket, Verdict: Wait}
		if j.state != waiting {
			d.Verdict, d.Upstream, d.Warming = Send, j.upstream.ID, j.warming
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
	c.counts.Submitted++
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
	j := &job{Request: r, askedAt: now, deadlineAt: now + r.Timeout, expires: now + r.Timeout + time.Second}
	j.waited = c.returns.waited(now, &r)
	j.Target -= j.waited
	j.targetAt = now + j.Target
	return j
}

// generatedWeight is what a generated token counts against one of the prompt, in
// teams' shares.
const generatedWeight = 2

// ChargedTokens is what a request counts in its team's share.
func ChargedTokens(r *Request) float64 { return float64(r.Prompt) + generatedWeight*float64(r.Output) }

// charge notes what a request asks for. A team is charged for its whole prompt,
// cached or not: where its parts are cached is our doing, and a team whose
// sessions happen to be warm would else take more of what is scarce.
func (c *Core) charge(now time.Duration, j *job) {
	kept := 0
	for _, u := range c.upstreams {
		kept = max(kept, u.cache.kept(j.Parts))
	}
	j.tokens = ChargedTokens(&j.Request)
	j.memory = max(j.Prompt-kept, 0) + j.Output
	c.teams.ask(now, j.Ticket.Router, j.Team, j.tokens)
}

// place finds the best upstream and sends, queues or refuses.
func (c *Core) place(now time.Duration, j *job) {
	best, ok := c.best(now, j)
	if !ok {
		c.refuse(now, j, choice{first: max(c.nextWarm(now, j), time.Second)})
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
	c.out = append(c.out, Decision{Ticket: j.Ticket, Verdict: Wait, PredictedFirstByte: best.first})
}

func (c *Core) send(now time.Duration, u *upstream, j *job, wait time.Duration) {
	warming := u.warming(now)
	u.warmUp.Take(now)
	j.warming = warming
	u.take(j, now)
	c.counts.Sent++
	c.teams.serve(now, j.Team, j.tokens)
	d := Decision{
		Ticket: j.Ticket, Verdict: Send, Upstream: u.ID, PredictedFirstByte: wait, SinceFirstAttempt: j.waited, OverShare: j.over(), Warming: warming,
		Allowance: c.teams.allowance(now, j.Ticket.Router, j.Team),
	}
	if j.copyFrom != nil {
		d.CopyFrom = j.copyFrom.ID
	}
	c.out = append(c.out, d)
}
