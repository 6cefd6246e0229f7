package dispatch

import (
	"math"
	"time"
)

// overShareFraction returns the fraction of the target that requests of teams above their
// share may wait. It decreases with refusals of teams within their share and recovers
// without them (additive increase, multiplicative decrease). Spare capacity can't be
// determined from the queues alone, because large teams fill every gap at once.
func (c *Core) overShareFraction(now time.Duration) float64 {
	recovered := (now - c.overShareUpdatedAt).Seconds() * c.cfg.OverShareRecovery
	return min(c.lastOverShareFraction+recovered, c.cfg.OverShareTargetFraction)
}

// reduceOverShareFraction limits teams above their share after a refusal of a team within
// its share.
func (c *Core) reduceOverShareFraction(now time.Duration) {
	if now-c.overShareUpdatedAt < c.cfg.OverShareDecreaseInterval {
		return
	}
	c.lastOverShareFraction = c.overShareFraction(now) * (1 - c.cfg.OverShareDecrease)
	c.overShareUpdatedAt = now
}

// admit reports whether a request is accepted for a candidate. A request that would miss
// its target is refused at once, while its caller can still go elsewhere or retry. If the
// prefill takes most of the target, only the wait is limited, because waiting less does
// not shorten the prefill.
func (c *Core) admit(now time.Duration, j *job, candidate choice) bool {
	if j.hasReservation() {
		return candidate.firstByte < j.Timeout
	}
	if j.overShare() && c.shares.exceedsMaxUsage(now, j.Team) {
		return false
	}
	if j.sinceFirstAttempt > 0 && candidate.firstByte-candidate.wait > j.Target {
		return c.admitLate(j, candidate)
	}
	fraction := c.cfg.TargetFraction
	if j.overShare() {
		fraction = c.overShareFraction(now)
	}
	limit := time.Duration(fraction * float64(j.Target))
	cost := candidate.firstByte - candidate.wait
	if cost > limit/2 {
		return candidate.wait <= limit/2 && candidate.firstByte < j.Timeout
	}
	return candidate.firstByte <= limit
}

// minRetryAfter keeps callers from retrying in a tight loop.
const minRetryAfter = 100 * time.Millisecond

func (c *Core) refuse(now time.Duration, j *job, candidate choice) {
	c.shares.lastRefusalAt = now
	c.shares.recordRefusal(now, j.Team)
	c.counts.Refused++
	switch {
	case j.overShare():
		c.counts.RefusedOverShare++
	case j.sinceFirstAttempt == 0 || !j.late(now):
		c.reduceOverShareFraction(now)
	}
	f, ok := FingerprintOf(&j.Request)
	if ok {
		c.refusals.record(now, f, refusedRequest{firstAttemptAt: j.submittedAt - j.sinceFirstAttempt, deadlineAt: j.submittedAt + j.Timeout})
	}
	delete(c.jobs, j.Ticket)
	details := c.refusalDetails(now, j, candidate.u)
	retryAfter := max(candidate.firstByte-max(j.Target, 0)/2, minRetryAfter)
	if c.reserves() && ok {
		retryAfter = c.returnTime(now, j, f, candidate, retryAfter, &details)
	}
	c.decisions = append(c.decisions, Decision{
		Ticket: j.Ticket, Verdict: Refuse, RetryAfter: retryAfter, PredictedFirstByte: candidate.firstByte, SinceFirstAttempt: j.sinceFirstAttempt, OverShare: j.overShare(), Details: details,
		Allowance: c.shares.allowance(now, j.Ticket.Router, j.Team),
	})
}

// refusalDetails returns the state on which a refusal is based.
func (c *Core) refusalDetails(now time.Duration, j *job, u *upstream) RefusalDetails {
	details := RefusalDetails{ID: j.ID, Team: j.Team, Served: c.shares.teamUsage(j.Team)}
	if !math.IsInf(c.shares.fairShare, 1) {
		details.Share = c.shares.fairShare
	}
	for _, member := range c.upstreams {
		if member.warming(now) {
			details.Warming++
		}
	}
	if u != nil {
		details.Upstream, details.Backlog = u.ID, u.backlog(now)
		details.Waiting, details.Running = len(u.queue), u.running
		details.Slowdown = u.statedSlowdown()
	}
	return details
}
