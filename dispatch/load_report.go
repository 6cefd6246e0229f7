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
}

// Stated reports whether the upstream has stated its load.
func (r LoadReport) Stated() bool { return r.Slots > 0 }

// ObserveLoad records the load that an upstream stated in a response that a router received now.
func (c *Core) ObserveLoad(_ time.Duration, at Incarnation, r LoadReport) {
	if u := c.byID[at.ID]; u == nil || !u.Same(at) || !c.cfg.LoadReports || !r.Stated() {
		return
	}
}
