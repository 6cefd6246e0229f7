package dispatch

import (
	"math"
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
}

// New returns a core without upstreams.
func New(cfg Config) *Core {
	return &Core{cfg: cfg, byID: map[string]*upstream{}, jobs: map[Ticket]*job{}, teams: newShares(cfg.ShareWindow)}
}

// SetCapacity sets what the group's upstreams yield, in tokens a second.
func (c *Core) SetCapacity(tokensPerSecond float64) { c.teams.capacity = tokensPerSecond }

// SetMembers replaces the group's upstreams. What waits for one that has gone
// is placed anew.
func (c *Core) SetMembers(now time.Duration, members []Member) []Decision {
	next := make([]*upstream, 0, len(members))
	byID := make(map[string]*upstream, len(members))
	for i, m := range members {
		u := c.byID[m.ID]
		if u == nil {
			u = newUpstream(m, &c.cfg)
			u.useAt = now
		}
		u.Member, u.order = m, i
		next = append(next, u)
		byID[m.ID] = u
	}
	old := c.upstreams
	c.upstreams, c.byID = next, byID
	for _, u := range old {
		if byID[u.ID] != nil {
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
	j := &job{Request: r, targetAt: now + r.Target, expires: now + r.Left + time.Second}
	j.memory = r.Output
	c.warm(&j.Request)
	c.charge(now, j)
	j.over = c.teams.over(now, r.Team)
	c.jobs[r.Ticket] = j
	c.place(now, j)
	return c.take()
}

// generatedWeight is what a generated token counts against one of the prompt, in
// teams' shares.
const generatedWeight = 2

// charge notes what a request asks for. A team is charged for its whole prompt,
// cached or not: where its parts are cached is our doing, and a team whose
// sessions happen to be warm would else take more of what is scarce.
func (c *Core) charge(now time.Duration, j *job) {
	kept := 0
	for _, u := range c.upstreams {
		kept = max(kept, u.cache.kept(j.Parts))
	}
	j.tokens = float64(j.Prompt) + generatedWeight*float64(j.Output)
	j.memory = max(j.Prompt-kept, 0) + j.Output
	c.teams.ask(now, j.Team, j.tokens)
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
		if now < u.banned || slices.Contains(j.Avoid, u.ID) {
			continue
		}
		u.touch(now)
		reread := plans[i].cost - least
		ch := c.weigh(now, u, j, plans[i].cost, reread)
		ch.plan = plans[i]
		ch.admitted = c.admit(now, j, ch)
		ch.away = reread > c.cfg.Spill
		if !ok || better(ch, found) {
			found, ok = ch, true
		}
	}
	return found, ok
}

func (c *Core) weigh(now time.Duration, u *upstream, j *job, cost, reread time.Duration) choice {
	wait := u.remaining(now) + c.queued(u, j, cost, now)
	if !c.cfg.Engine {
		wait = c.plainWait(u)
	} else if u.full(j.memory) {
		wait += slotWait
	}
	ch := choice{u: u, wait: wait, first: wait + cost}
	ch.score = ch.first +
		time.Duration(c.cfg.Reread*float64(reread)) +
		time.Duration(u.use*float64(c.cfg.Spread)) +
		time.Duration(u.failing*float64(c.cfg.FailurePenalty)) +
		time.Duration(u.use*float64(j.Output)*float64(c.cfg.Crawl)) +
		time.Duration(float64(u.running)/float64(max(u.Slots, 1))*float64(c.cfg.Spread))
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
func (c *Core) plainWait(u *upstream) time.Duration {
	over := u.running + len(u.queue) - u.Slots + 1
	if over <= 0 {
		return 0
	}
	return time.Duration(over) * u.serviceTime / time.Duration(max(u.Slots, 1))
}

// overUse is the part of the target that requests of teams above their share may
// wait. It falls with each refusal of a team within its share and comes back
// while there are none (additive increase, multiplicative decrease): what is
// spare can't be known from queues alone, as large teams fill every gap at once.
func (c *Core) overUse(now time.Duration) float64 {
	back := (now - c.overAt).Seconds() * c.cfg.OverRecovery
	return min(c.overLeft+back, c.cfg.OverUse)
}

// yieldShare makes teams above their share give way after a refusal of one
// within it.
func (c *Core) yieldShare(now time.Duration) {
	c.overLeft = c.overUse(now) * (1 - c.cfg.OverDecrease)
	c.overAt = now
}

// admit decides whether a request that would wait so long is taken. One that
// would miss its target is refused at once, while its caller can still go
// elsewhere or come back. A prompt that takes most of the target by itself is
// judged by its wait alone: no waiting makes it shorter.
func (c *Core) admit(now time.Duration, j *job, ch choice) bool {
	use := c.cfg.TargetUse
	if j.over {
		use = c.overUse(now)
	}
	limit := time.Duration(use * float64(j.Target))
	cost := ch.first - ch.wait
	if cost > limit/2 {
		return ch.wait <= limit/2 && ch.first < j.Left
	}
	return ch.first <= limit
}

// minRetryAfter keeps callers from asking in a tight loop.
const minRetryAfter = 100 * time.Millisecond

func (c *Core) refuse(now time.Duration, j *job, ch choice) {
	c.teams.refusedAt = now
	if !j.over {
		c.yieldShare(now)
	}
	delete(c.jobs, j.Ticket)
	after := max(ch.first-j.Target/2, minRetryAfter)
	c.out = append(c.out, Decision{
		Ticket: j.Ticket, Verdict: Refuse, RetryAfter: after, Wait: ch.first, Over: j.over, Basis: c.basis(now, j, ch.u),
	})
}

// basis notes what a refusal rests on.
func (c *Core) basis(now time.Duration, j *job, u *upstream) Basis {
	b := Basis{ID: j.ID, Team: j.Team, Served: c.teams.served(j.Team)}
	if !math.IsInf(c.teams.level, 1) {
		b.Share = c.teams.level
	}
	if u != nil {
		b.Upstream, b.Unread = u.ID, u.remaining(now)
		b.Waiting, b.Running = len(u.queue), u.running
	}
	return b
}

// ready reports whether the upstream takes a job now.
func (c *Core) ready(u *upstream, j *job, now time.Duration) bool {
	if u.full(j.memory) || u.cache.beingRead(now, j.Parts, c.cfg.MinAwait) {
		return false
	}
	return !c.cfg.Engine || u.remaining(now) < c.cfg.Window
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

func (c *Core) send(now time.Duration, u *upstream, j *job, wait time.Duration) {
	u.take(j, now)
	c.teams.serve(now, j.Team, j.tokens)
	d := Decision{Ticket: j.Ticket, Verdict: Send, Upstream: u.ID, Wait: wait, Over: j.over}
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
	c.drain(now, j.upstream)
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
	c.drain(now, u)
}

// Seed takes in what an upstream says that it keeps. A new home knows nothing of
// the caches; it would take every prompt for unread, refuse what could be served
// and scatter the sessions.
func (c *Core) Seed(id string, parts []Part) {
	u := c.byID[id]
	if u == nil {
		return
	}
	for i := range parts {
		u.cache.read(nil, parts[i:i+1], u.KVTokens)
	}
}

// Held takes in a request that a router sent before this core was its home.
func (c *Core) Held(now time.Duration, r Request, upstreamID string, begun bool) {
	u := c.byID[upstreamID]
	if u == nil || c.jobs[r.Ticket] != nil {
		return
	}
	j := &job{Request: r, targetAt: now + r.Target, expires: now + r.Left + time.Second}
	j.memory = r.Output + max(r.Prompt-u.cache.kept(r.Parts), 0)
	c.jobs[r.Ticket] = j
	j.cost = u.cost(&j.Request, u.cache.kept(r.Parts), 0)
	u.take(j, now)
	if begun {
		u.read(j, now)
		j.state = started
	}
}

// Drop forgets the requests of a router that is gone.
func (c *Core) Drop(now time.Duration, router uint64) []Decision {
	for t := range c.jobs {
		if t.Router == router {
			c.done(now, t, Cancelled, 0)
		}
	}
	return c.take()
}

// drain sends what waits for an upstream, as far as it has room.
func (c *Core) drain(now time.Duration, u *upstream) {
	for {
		next := c.next(now, u)
		if next < 0 {
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
		for t, j := range c.jobs {
			if now > j.expires {
				c.done(now, t, Cancelled, 0)
			}
		}
	}
	return c.take()
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
	start := u.remaining(now)
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

// Waiting reports whether any request waits, so that Tick is of use.
func (c *Core) Waiting() bool {
	for _, u := range c.upstreams {
		if len(u.queue) > 0 {
			return true
		}
	}
	return false
}
