package dispatch

import (
	"slices"
	"time"

	"github.com/aspenswitch/aspenswitch/warmup"
)

// warming reports whether the upstream is or may be warming up.
func (u *upstream) warming(now time.Duration) bool {
	return u.WarmUpDuration > 0 && now < max(u.WarmUntil, u.presumedWarmAt)
}

// SetWarmingUp records that an upstream answered a probe with a remaining warm-up time.
func (c *Core) SetWarmingUp(now time.Duration, at Incarnation, left time.Duration) []Decision {
	u := c.byID[at.ID]
	if u == nil || !u.Same(at) {
		return nil
	}
	u.probing.Failed()
	u.presumedWarmAt = max(u.presumedWarmAt, now+left)
	c.requeue(now, u)
	return c.takeDecisions()
}

// RequireProbes sets whether upstreams are used only as far as probes show that they need no
// warm-up. The home requires them while the published state is too old to show it.
func (c *Core) RequireProbes(required bool) { c.probesRequired = required }

// awaitsProbe reports whether no request may be sent to the upstream before a probe is answered.
func (c *Core) awaitsProbe(now time.Duration, u *upstream) bool {
	return c.probesRequired && !u.warming(now) && !u.probing.Available()
}

// ProbesDue returns the upstreams to which a probe must be sent now. Each of them must be
// followed by SetWarm, SetWarmingUp or ProbeFailed.
func (c *Core) ProbesDue(now time.Duration) (due []Incarnation) {
	if !c.probesRequired {
		return nil
	}
	for _, u := range c.upstreams {
		if u.probing.Due() && !u.warming(now) {
			u.probing.Sent()
			due = append(due, u.Incarnation)
		}
	}
	return due
}

// SetWarm records that an upstream answered a probe that it needs no warm-up.
func (c *Core) SetWarm(now time.Duration, at Incarnation) []Decision {
	u := c.byID[at.ID]
	if u == nil || !u.Same(at) {
		return nil
	}
	u.probing.Answered()
	c.sendQueued(now, u)
	return c.takeDecisions()
}

// probeRetryInterval is how long an upstream that didn't answer a probe is used as if it were
// warming up, before the next probe.
const probeRetryInterval = 100 * time.Millisecond

// ProbeFailed records that a probe of an upstream has no answer.
func (c *Core) ProbeFailed(now time.Duration, at Incarnation) []Decision {
	return c.SetWarmingUp(now, at, probeRetryInterval)
}

// maxGrantAge is the maximum time between the submission of a request and the decision to
// send it to an upstream that is warming up. The rest of warmup.GrantTTL is left for the
// reply to reach the router.
const maxGrantAge = warmup.GrantTTL / 3

// eligible reports whether an upstream may be chosen for a job.
func (c *Core) eligible(now time.Duration, u *upstream, j *job) bool {
	if now < u.bannedUntil || !u.accepts(&j.Request) {
		return false
	}
	if !u.warming(now) {
		return true
	}
	// Requests do not queue for an upstream that is warming up, because the grant would
	// have expired before they are sent.
	return c.warmUpGranted && u.warmUp.Available(now) && now-j.submittedAt <= maxGrantAge && c.ready(u, j, now)
}

// accepts reports whether the upstream is one that may serve a request at all.
func (u *upstream) accepts(r *Request) bool {
	return !slices.Contains(r.Avoid, u.ID) && regionAllowed(r.Regions, u.Region) && u.continues(r)
}

// continues reports whether the upstream's version is the one that the request must run at. What
// two software versions write doesn't fit into one stream.
func (u *upstream) continues(r *Request) bool { return r.Version == "" || r.Version == u.Version }

// regionAllowed reports whether a region is allowed. An empty list allows all.
func regionAllowed(allowed []string, region string) bool {
	return len(allowed) == 0 || slices.Contains(allowed, region)
}

// timeUntilWarm returns the time until the first upstream has warmed up, or 0 if none is
// warming up.
func (c *Core) timeUntilWarm(now time.Duration, j *job) time.Duration {
	var shortest time.Duration
	for _, u := range c.upstreams {
		if !u.warming(now) || !regionAllowed(j.Regions, u.Region) || !u.continues(&j.Request) {
			continue
		}
		if left := max(u.WarmUntil, u.presumedWarmAt) - now; shortest == 0 || left < shortest {
			shortest = left
		}
	}
	return shortest
}
