package dispatch

import "time"

// Core schedules the requests for one group of upstreams. It isn't safe for concurrent
// use.
type Core struct {
	cfg         Config
	upstreams   []*upstream
	byID        map[string]*upstream
	jobs        map[Ticket]*job
	shares      *shares
	decisions   []Decision
	nextSweepAt time.Duration
	// lastOverShareFraction is the value of overShareFraction at overShareUpdatedAt.
	lastOverShareFraction float64
	overShareUpdatedAt    time.Duration
	counts                Counts
	averages              averages
	refusals              refusalHistory
	elsewhere             elsewhere
	contacts              routerContact
	prefillYield          prefillYield
	groupFit              prefillFit
	// reservations is nil until there is one. offeredLoad, groupYield and residence are kept only
	// if the core reserves.
	reservations *reservations
	offeredLoad  offeredLoad
	groupYield   groupYield
	residence    residence
	// severalVersions is set if the upstreams have different software versions.
	severalVersions bool
	// warmUpGranted is set while this core may send to upstreams that are warming up.
	warmUpGranted bool
	// probesRequired is set while only probes show whether upstreams are warming up.
	probesRequired bool
	locality       locality
}

// New returns a core without upstreams.
func New(cfg Config) *Core {
	return &Core{cfg: cfg, byID: map[string]*upstream{}, jobs: map[Ticket]*job{}, shares: newShares(cfg.ShareWindow)}
}

// SetCapacity sets the throughput of the group's upstreams, in tokens per second.
func (c *Core) SetCapacity(tokensPerSecond float64) { c.shares.capacity = tokensPerSecond }

// takeDecisions returns the decisions made since the last call.
func (c *Core) takeDecisions() []Decision {
	out := c.decisions
	c.decisions = nil
	return out
}

// Submit decides on a request. Submitting a pending request again has no effect and
// repeats the decision, because the reply may have been lost.
func (c *Core) Submit(now time.Duration, r Request) []Decision {
	c.contacts.record(now, r.Ticket.Router)
	if j := c.jobs[r.Ticket]; j != nil {
		d := Decision{Ticket: r.Ticket, Verdict: Wait}
		if j.state != waiting {
			d.Verdict, d.Upstream, d.Warming = Send, j.upstream.ID, j.warming
			if j.copyFrom != nil {
				d.CopyFrom = j.copyFrom.ID
			}
		}
		c.decisions = append(c.decisions, d)
		return c.takeDecisions()
	}
	c.advanceReservations(now)
	j := c.newJob(now, r)
	j.reservedKV = r.Output
	c.applyCacheHint(&j.Request)
	c.setCopySource(j)
	c.recordDemand(now, j)
	c.shares.utilization = c.meanUtilization(now) / c.shares.span().coverage(now, utilizationWindow)
	j.shareStatus = c.shares.shareStatus(now, r.Team)
	c.claimReservation(now, j)
	c.counts.Submitted++
	if r.HandedOver {
		c.counts.TakenOver++
	}
	c.jobs[r.Ticket] = j
	c.place(now, j)
	return c.takeDecisions()
}

// meanUtilization returns the fraction of time in which the upstreams had a backlog,
// averaged over those that are not banned.
func (c *Core) meanUtilization(now time.Duration) float64 {
	total, n := 0.0, 0
	for _, u := range c.upstreams {
		if now < u.bannedUntil {
			continue
		}
		u.update(now)
		total += u.utilization
		n++
	}
	return total / float64(max(n, 1))
}

// newJob returns a job for the request. The target of a repeated request counts from its
// first attempt.
func (c *Core) newJob(now time.Duration, r Request) *job {
	j := &job{Request: r, submittedAt: now, deadlineAt: now + r.Timeout, expiresAt: now + r.Timeout + time.Second}
	j.sinceFirstAttempt = c.refusals.sinceFirstAttempt(now, &r)
	j.Target -= j.sinceFirstAttempt
	j.targetAt = now + j.Target
	return j
}

// outputTokenWeight is the cost of an output token relative to a prompt token in a team's
// share.
const outputTokenWeight = 2

// ChargedTokens returns the number of tokens that a request counts against its team's
// share.
func ChargedTokens(r *Request) float64 {
	return float64(r.Prompt) + outputTokenWeight*float64(r.Output)
}

// recordDemand adds a request to its team's demand. The whole prompt counts, cached or not:
// the scheduler decides where parts are cached, and otherwise a team whose sessions happen
// to be cached would get more of a scarce capacity.
func (c *Core) recordDemand(now time.Duration, j *job) {
	cached := 0
	for _, u := range c.upstreams {
		cached = max(cached, u.cache.cachedPrefix(j.Parts))
	}
	j.chargedTokens = ChargedTokens(&j.Request)
	j.reservedKV = max(j.Prompt-cached, 0) + j.Output
	c.shares.addRequested(now, j.Ticket.Router, j.Team, j.chargedTokens)
}

// place chooses the best upstream and then sends, queues or refuses the request.
func (c *Core) place(now time.Duration, j *job) {
	best, ok := c.best(now, j)
	if ok {
		c.recordOffered(now, j, best)
	} else {
		best.firstByte = max(c.timeUntilWarm(now, j), time.Second)
	}
	if !best.admitted {
		if !c.handOver(now, j, best) {
			c.refuse(now, j, best)
		}
		return
	}
	if c.prefersNear(j) {
		c.recordDomainDemand(now, j, best)
	}
	if c.ready(best.u, j, now) && !c.readyAheadOf(best.u, j, now) {
		j.cost, j.copyFrom = best.plan.cost, best.plan.source
		c.send(now, best.u, j, best.firstByte)
		return
	}
	j.upstream = best.u
	j.cost, j.copyFrom = best.plan.cost, best.plan.source
	best.u.queue = append(best.u.queue, j)
	c.decisions = append(c.decisions, Decision{Ticket: j.Ticket, Verdict: Wait, PredictedFirstByte: best.firstByte})
}

func (c *Core) send(now time.Duration, u *upstream, j *job, predictedFirstByte time.Duration) {
	warming := u.warming(now)
	u.warmUp.Take(now)
	u.probing.Count()
	j.warming = warming
	u.assign(j, now)
	c.endReservation(now, j, true)
	c.counts.Sent++
	c.countDistance(j, u)
	c.shares.addServed(now, j.Team, j.chargedTokens)
	d := Decision{
		Ticket: j.Ticket, Verdict: Send, Upstream: u.ID, PredictedFirstByte: predictedFirstByte, SinceFirstAttempt: j.sinceFirstAttempt, OverShare: j.overShare(), Warming: warming,
		Allowance: c.shares.allowance(now, j.Ticket.Router, j.Team),
	}
	if j.copyFrom != nil {
		d.CopyFrom = j.copyFrom.ID
	}
	c.decisions = append(c.decisions, d)
}
