package dispatch

import (
	"cmp"
	"slices"
	"time"
)

// Started records the first byte of an answer.
func (c *Core) Started(now time.Duration, t Ticket) []Decision {
	c.contacts.record(now, t.Router)
	j := c.jobs[t]
	if j == nil || j.state == waiting {
		return nil
	}
	if j.state == sent {
		j.startedAt = now
	}
	j.upstream.firstByte(j, now)
	c.sendReserved(now)
	c.sendQueuedToMember(now, j.upstream)
	return c.takeDecisions()
}

// Done records the end of a request, also of one that was never sent. took is the time
// from sending it to the end of the answer.
func (c *Core) Done(now time.Duration, t Ticket, o Outcome, took time.Duration) []Decision {
	c.contacts.record(now, t.Router)
	c.done(now, t, o, took)
	return c.takeDecisions()
}

func (c *Core) done(now time.Duration, t Ticket, o Outcome, took time.Duration) {
	j := c.jobs[t]
	if j == nil {
		return
	}
	delete(c.jobs, t)
	u := j.upstream
	if j.state == waiting {
		c.cancelReservation(now, j)
		u.queue = slices.DeleteFunc(u.queue, func(q *job) bool { return q == j })
		return
	}
	if j.state == sent && o.notRun() {
		c.shares.refund(now, j)
	}
	c.recordResidence(now, j, o)
	u.finish(j, now, o, took)
	c.sendReserved(now)
	c.sendQueuedToMember(now, u)
}

// cancelMatching cancels the requests that match, in the order of their tickets.
func (c *Core) cancelMatching(now time.Duration, match func(*job) bool) {
	var tickets []Ticket
	for t, j := range c.jobs {
		if match(j) {
			tickets = append(tickets, t)
		}
	}
	slices.SortFunc(tickets, func(a, b Ticket) int {
		return cmp.Or(cmp.Compare(a.Router, b.Router), cmp.Compare(a.Seq, b.Seq))
	})
	for _, t := range tickets {
		c.done(now, t, Cancelled, 0)
	}
}

// sweepInterval is the time between sweeps for expired tickets, whose completion report
// was lost.
const sweepInterval = time.Second

// Tick sends the requests that have become ready and refuses those that can no longer be
// served in time.
func (c *Core) Tick(now time.Duration) []Decision {
	c.advanceReservations(now)
	c.sendReserved(now)
	for _, u := range c.upstreams {
		c.finishUnreported(now, u)
		c.refuseLate(now, u)
		c.sendQueued(now, u)
	}
	if now >= c.nextSweepAt {
		c.nextSweepAt = now + sweepInterval
		c.cancelMatching(now, func(j *job) bool { return now > j.expiresAt })
	}
	return c.takeDecisions()
}

// HasWaiting reports whether any request waits, so that Tick has work to do.
func (c *Core) HasWaiting() bool {
	for _, u := range c.upstreams {
		if len(u.queue) > 0 {
			return true
		}
	}
	return false
}
