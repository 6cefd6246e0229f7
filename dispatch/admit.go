package dispatch

import (
	"math"
	"time"
)

// overUse is the part of the target that requests of teams above their share may
// wait. It falls with each refusal of a team within its share and comes back
// while there are none (additive increase, multiplicative decrease): what is
// spare can't be known from queues alone, as large teams fill every gap at once.
func (c *Core) overUse(now time.Duration) float64 {
	back := (now - c.overAt).Seconds() * c.cfg.OverShareRecovery
	return min(c.overLeft+back, c.cfg.OverShareTargetFraction)
}

// yieldShare makes teams above their share give way after a refusal of one
// within it.
func (c *Core) yieldShare(now time.Duration) {
	if now-c.overAt < c.cfg.OverShareDecreaseInterval {
		return
	}
	c.overLeft = c.overUse(now) * (1 - c.cfg.OverShareDecrease)
	c.overAt = now
}

// admit decides whether a request that would wait so long is taken. One that
// would miss its target is refused at once, while its caller can still go
// elsewhere or come back. A prompt that takes most of the target by itself is
// judged by its wait alone: no waiting makes it shorter.
func (c *Core) admit(now time.Duration, j *job, ch choice) bool {
	if j.over() && c.teams.tooMuch(now, j.Team) {
		return false
	}
	if j.waited > 0 && ch.first-ch.wait > j.Target {
		return ch.wait <= c.lateWait(j) && ch.first < j.Timeout
	}
	use := c.cfg.TargetFraction
	if j.over() {
		use = c.overUse(now)
	}
	limit := time.Duration(use * float64(j.Target))
	cost := ch.first - ch.wait
	if cost > limit/2 {
		return ch.wait <= limit/2 && ch.first < j.Timeout
	}
	return ch.first <= limit
}

// lateWait is how much unread work an engine may have to take a request that will
// be late: what it is given ahead, as a team that is within its share is owed the
// service, after those that can be in time; a third of it for teams above theirs,
// which take what is spare.
func (c *Core) lateWait(j *job) time.Duration {
	if j.over() {
		return c.cfg.BacklogWindow / 3
	}
	return c.cfg.BacklogWindow
}

// minRetryAfter keeps callers from asking in a tight loop.
const minRetryAfter = 100 * time.Millisecond

func (c *Core) refuse(now time.Duration, j *job, ch choice) {
	c.teams.refusedAt = now
	c.teams.refused(now, j.Team)
	c.counts.Refused++
	switch {
	case j.over():
		c.counts.RefusedOverShare++
	case j.waited == 0 || !j.late(now):
		c.yieldShare(now)
	}
	if f, ok := FingerprintOf(&j.Request); ok {
		c.returns.note(now, f, refusedOnce{at: j.askedAt - j.waited, deadline: j.askedAt + j.Timeout})
	}
	delete(c.jobs, j.Ticket)
	after := max(ch.first-max(j.Target, 0)/2, minRetryAfter)
	c.out = append(c.out, Decision{
		Ticket: j.Ticket, Verdict: Refuse, RetryAfter: after, PredictedFirstByte: ch.first, SinceFirstAttempt: j.waited, OverShare: j.over(), Details: c.basis(now, j, ch.u),
		Allowance: c.teams.allowance(now, j.Ticket.Router, j.Team),
	})
}

// basis notes what a refusal rests on.
func (c *Core) basis(now time.Duration, j *job, u *upstream) RefusalDetails {
	b := RefusalDetails{ID: j.ID, Team: j.Team, Served: c.teams.served(j.Team)}
	if !math.IsInf(c.teams.level, 1) {
		b.Share = c.teams.level
	}
	for _, member := range c.upstreams {
		if member.warming(now) {
			b.Warming++
		}
	}
	if u != nil {
		b.Upstream, b.Backlog = u.ID, u.remaining(now)
		b.Waiting, b.Running = len(u.queue), u.running
	}
	return b
}
