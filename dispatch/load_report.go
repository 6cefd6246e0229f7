package dispatch

import "time"

// LoadReport is the load that an upstream states in a response. The zero value means that it
// states none.
type LoadReport struct {
	// Running and Waiting are the upstream's numbers of requests from all routers, Slots how many
	// it runs at once.
	Running, Waiting, Slots int
	// Slowdown is the ratio of the time that work currently takes on the upstream's machine to the
	// usual time, 0 if the upstream doesn't state it.
	Slowdown float64
	// Age is the time since the upstream stated the load.
	Age time.Duration
}

// Stated reports whether the upstream has stated its load.
func (r LoadReport) Stated() bool { return r.Slots > 0 }

// StatesSpeed reports whether the upstream has stated the present speed of its machine, too. Only
// then is a report used.
func (r LoadReport) StatesSpeed() bool { return r.Stated() && r.Slowdown > 0 }

// ObserveLoad records the load that an upstream stated.
func (c *Core) ObserveLoad(now time.Duration, at Incarnation, r LoadReport) []Decision {
	if u := c.byID[at.ID]; u != nil && u.Same(at) {
		c.observeLoad(now, u, r)
	}
	return c.takeDecisions()
}

// StartedWithLoad records the first byte of an answer and the load that its upstream stated.
func (c *Core) StartedWithLoad(now time.Duration, t Ticket, r LoadReport) []Decision {
	// The fit of the engine needs the speed at the end of the prefill, so the load comes first. If the
	// upstream has restarted since, it is recorded for the earlier incarnation, which gets no more requests.
	if j := c.jobs[t]; j != nil && j.state != waiting {
		c.observeLoad(now, j.upstream, r)
	}
	return c.Started(now, t)
}

func (c *Core) observeLoad(now time.Duration, u *upstream, r LoadReport) {
	if !c.cfg.LoadReports || !r.StatesSpeed() {
		return
	}
	u.update(now)
	previous := u.slowdown
	u.observeLoad(now, r)
	if u.slowdown > requeueSlowdown*previous && c.byID[u.ID] == u {
		c.requeue(now, u)
	}
}

// requeueSlowdown is the increase of the slowdown after which the requests that wait for an upstream are
// placed again. Another one may serve them in time, or they are refused while their callers can still retry.
const requeueSlowdown = 1.5
