package dispatch

import (
	"slices"
	"time"
)

// sendReserved sends queued jobs whose reservation is due and that their upstream can't take, if
// another one can. It must be called before an upstream with room is sent other jobs.
func (c *Core) sendReserved(now time.Duration) {
	if c.reservations == nil || c.reservations.unsent == 0 {
		return
	}
	for _, u := range c.upstreams {
		u.queue = slices.DeleteFunc(u.queue, func(j *job) bool {
			if !j.reservationDue(now) || c.ready(u, j, now) {
				return false
			}
			other, plan := c.readyUpstream(now, j)
			if other == nil {
				return false
			}
			j.cost, j.copyFrom = plan.cost, plan.source
			c.send(now, other, j, 0)
			return true
		})
	}
}

// readyUpstream returns the upstream with the lowest cost of those that can take a queued job now
// and repeat little prefill, or nil.
func (c *Core) readyUpstream(now time.Duration, j *job) (found *upstream, best prefillPlan) {
	for i, plan := range c.prefillPlans(now, j) {
		if plan.cost > j.cost+c.cfg.MaxRecompute || found != nil && plan.cost >= best.cost {
			continue
		}
		u := c.upstreams[i]
		if c.eligible(now, u, j) && c.ready(u, j, now) && !c.readyAheadOf(u, j, now) {
			found, best = u, plan
		}
	}
	return found, best
}
