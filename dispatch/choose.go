package dispatch

import "time"

// choice is a candidate upstream for a job.
type choice struct {
	u *upstream
	// firstByte is the predicted time to first byte, and wait the part of it before the
	// upstream starts on the job.
	firstByte, wait time.Duration
	score           time.Duration
	plan            prefillPlan
	// admitted is set if the request would be in time.
	admitted bool
	// cachedElsewhere is set if the cost exceeds the lowest cost of any upstream by more
	// than MaxRecompute, because parts of the prompt are cached there.
	cachedElsewhere bool
	// copied is the work that is repeated to keep the request within its failure domain.
	copied time.Duration
}

// better reports whether a is the better choice, which is the one with the lower score. A
// request that would be late where its parts are cached is sent to another upstream if little
// prefill is repeated there. Otherwise it is refused, because the repeated prefill takes
// the time of several other requests and evicts their cached parts.
func better(a, b choice) bool {
	if a.admitted != b.admitted && !a.cachedElsewhere && !b.cachedElsewhere {
		return a.admitted
	}
	return a.score < b.score
}

// best returns the best eligible upstream, and false if there is none.
func (c *Core) best(now time.Duration, j *job) (choice, bool) {
	plans := c.prefillPlans(now, j)
	lowestCost := time.Duration(0)
	for i, p := range plans {
		if i == 0 || p.cost < lowestCost {
			lowestCost = p.cost
		}
	}
	preferNear := c.prefersNear(j)
	var found, local choice
	ok := false
	for i, u := range c.upstreams {
		if !c.eligible(now, u, j) {
			continue
		}
		u.update(now)
		recompute := plans[i].cost - lowestCost
		candidate := c.evaluate(now, u, j, plans[i].cost, recompute)
		candidate.plan = plans[i]
		candidate.admitted = c.admit(now, j, candidate)
		candidate.cachedElsewhere = recompute > c.cfg.MaxRecompute
		if !ok || better(candidate, found) {
			found, ok = candidate, true
		}
		if preferNear && c.localCandidate(j, candidate) && (local.u == nil || candidate.score < local.score) {
			local = candidate
		}
	}
	if preferNear {
		found = c.preferLocal(now, j, found, local)
	}
	return found, ok
}

func (c *Core) evaluate(now time.Duration, u *upstream, j *job, cost, recompute time.Duration) choice {
	wait := u.prefillWait(now) + c.queuedAhead(u, j, cost, now)
	if !c.cfg.Engine {
		wait = c.serviceSlotWait(u, cost)
	} else if u.full(j.reservedKV) {
		wait += fullEngineWait
	}
	wait += c.reservedAhead(now, j, wait)
	candidate := choice{u: u, wait: wait, firstByte: wait + cost + u.learnt.delay}
	candidate.score = candidate.firstByte +
		time.Duration(c.cfg.RecomputeWeight*float64(recompute)) +
		time.Duration(u.utilization*float64(c.cfg.LoadPenalty)) +
		time.Duration(u.excessFailureRate(now, c.currentAverages(now))*float64(c.cfg.FailurePenalty)) +
		time.Duration(u.utilization*float64(j.Output)*float64(c.cfg.DecodePenalty)) +
		time.Duration(float64(u.occupied())/float64(max(u.Slots, 1))*float64(c.cfg.LoadPenalty))
	return candidate
}

// fullEngineWait is the expected wait for a running request to finish at a full engine.
// Streams run for seconds, and dozens run concurrently.
const fullEngineWait = 100 * time.Millisecond

// queuedAhead returns the cost of the queued jobs that go before the job. Of two jobs with
// equal priority, the queued one is sent first.
func (c *Core) queuedAhead(u *upstream, j *job, cost, now time.Duration) time.Duration {
	if len(u.queue) == 0 {
		return 0
	}
	probe := *j
	probe.cost = cost
	total := time.Duration(0)
	for _, q := range u.queue {
		// A reserved request goes first; the queue's length is what it delays.
		if !c.before(&probe, q, now) || j.hasReservation() {
			total += q.cost
		}
	}
	return total
}

// serviceSlotWait returns the expected wait for a slot of a plain service.
func (c *Core) serviceSlotWait(u *upstream, serviceTime time.Duration) time.Duration {
	excess := u.occupied() + len(u.queue) - u.Slots + 1
	if excess <= 0 {
		return 0
	}
	return time.Duration(excess) * serviceTime / time.Duration(max(u.Slots, 1))
}
