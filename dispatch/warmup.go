package dispatch

import (
	"slices"
	"time"

	"github.com/aspenswitch/aspenswitch/warmup"
)

// warming reports whether the upstream is warming up, as far as is known.
func (u *upstream) warming(now time.Duration) bool {
	return u.WarmUpDuration > 0 && now < max(u.WarmUntil, u.presumedWarm)
}

// SetWarmingUp takes in that an upstream said that it warms up for so much longer.
func (c *Core) SetWarmingUp(now time.Duration, at Incarnation, left time.Duration) []Decision {
	u := c.byID[at.ID]
	if u == nil || !u.Same(at) {
		return nil
	}
	u.presumedWarm = max(u.presumedWarm, now+left)
	c.replaceQueue(now, u)
	return c.take()
}

// maxGrantAge is how long ago a request may have been asked for when it is sent to an upstream
// that is warming up. The rest of the time until the grant expires is left for the way back.
const maxGrantAge = warmup.GrantTTL / 3

// eligible reports whether an upstream can be considered for a job.
func (c *Core) eligible(now time.Duration, u *upstream, j *job) bool {
	if now < u.banned || slices.Contains(j.Avoid, u.ID) || !inRegions(j.Regions, u.Region) {
		return false
	}
	if !u.warming(now) {
		return true
	}
	// Nothing waits for an upstream that is warming up: the grant would be too old when the
	// request is sent.
	return c.warmUpGranted && u.warmUp.Available(now) && now-j.askedAt <= maxGrantAge && c.ready(u, j, now)
}

// inRegions reports whether a region is among those allowed; none given allow all.
func inRegions(allowed []string, region string) bool {
	return len(allowed) == 0 || slices.Contains(allowed, region)
}

// nextWarm returns the time until the first upstream that is warming up takes unbounded work
// again, 0 if none is warming up.
func (c *Core) nextWarm(now time.Duration, j *job) time.Duration {
	var next time.Duration
	for _, u := range c.upstreams {
		if !u.warming(now) || !inRegions(j.Regions, u.Region) {
			continue
		}
		if left := max(u.WarmUntil, u.presumedWarm) - now; next == 0 || left < next {
			next = left
		}
	}
	return next
}
