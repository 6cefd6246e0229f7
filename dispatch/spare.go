package dispatch

import "time"

// Spare is what a group of upstreams could serve in time beside the work that it has.
type Spare struct {
	// Work is the sum over the upstreams of the prefill time, or of the service time of a plain
	// service, for which each of them would accept further requests.
	Work time.Duration
}

// Spare returns what the group could serve at present.
func (c *Core) Spare(now time.Duration) Spare {
	var s Spare
	for _, u := range c.upstreams {
		if now < u.bannedUntil || u.warming(now) || c.awaitsProbe(now, u) || u.full(0) {
			continue
		}
		u.update(now)
		if !c.cfg.Engine {
			free := max(u.Slots-u.occupied()-len(u.queue), 0)
			s.Work += time.Duration(free) * u.serviceTime(now, c.currentAverages(now))
			continue
		}
		left := c.cfg.BacklogWindow - u.prefillWait(now)
		for _, j := range u.queue {
			left -= j.cost
		}
		s.Work += max(left, 0)
	}
	return s
}

// refusedMemory is how long after a refusal a group looks for others that could serve its requests.
const refusedMemory = time.Second

// SeeksSpare reports whether the group has recently had no room for a request that another group could
// serve.
func (c *Core) SeeksSpare(now time.Duration) bool {
	return c.cfg.Handover && c.elsewhere.soughtAt != 0 && now-c.elsewhere.soughtAt < refusedMemory
}
