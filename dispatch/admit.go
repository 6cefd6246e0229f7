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
	back := (now - c.overAt).Seconds() * c.cfg.OverRecovery
	return min(c.overLeft+back, c.cfg.OverUse)
}

// yieldShare makes teams above their share give way after a refusal of one
// within it.
func (c *Core) yieldShare(now time.Duration) {
	if now-c.overAt < c.cfg.OverPause {
		return
	}
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
	c.counts.Refused++
	if j.over {
		c.counts.RefusedOver++
	} else {
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
