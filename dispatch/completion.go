package dispatch

import (
	"cmp"
	"slices"
	"time"
)

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
	if j.state == sent && o.unrun() {
		c.teams.giveBack(now, j)
	}
	u.ended(j, now, o, took)
	c.drainMember(now, u)
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

// HasWaiting reports whether any request waits, so that Tick is of use.
func (c *Core) HasWaiting() bool {
	for _, u := range c.upstreams {
		if len(u.queue) > 0 {
			return true
		}
	}
	return false
}
