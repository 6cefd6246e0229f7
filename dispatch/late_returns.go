package dispatch

import "time"

// A request that returns without a reservation will mostly be late, and an answer in time is worth
// more to callers than a late one. So it must not take room from first attempts, which come at any
// moment: a core that reserves serves it only where nothing waits for the engine.

// lateSlotFraction is the fraction of an engine's slots up to which requests that will be late may
// use it. An answer holds its slot for seconds.
const lateSlotFraction = 0.7

// admitLate reports whether a returning request that will be late is accepted for a candidate.
func (c *Core) admitLate(j *job, candidate choice) bool {
	if c.reserves() && float64(candidate.u.running) > lateSlotFraction*float64(candidate.u.Slots) {
		return false
	}
	return candidate.wait <= c.maxLateBacklog(j) && candidate.firstByte < j.Timeout
}

// maxLateBacklog returns the maximum wait at an engine for a request that will be late. A team
// within its share is entitled to the capacity after requests that can still be in time; teams
// above their share only get spare capacity.
func (c *Core) maxLateBacklog(j *job) time.Duration {
	switch {
	case c.reserves() && j.overShare():
		return 0
	case c.reserves():
		return time.Duration(c.cfg.PrefillStepMs * float64(time.Millisecond))
	case j.overShare():
		return c.cfg.BacklogWindow / 3
	}
	return c.cfg.BacklogWindow
}

// spareReturnTime returns the time after which a caller whose team is above its share should
// return. soon is the predicted time until a like request would be accepted.
//
// If the engines have little work ahead, spare capacity may come at any moment. If they don't, a
// caller that returns soon is refused again, or takes the place of a first attempt; the latest time
// at which it can return is the likeliest to be after the overload.
func (c *Core) spareReturnTime(now time.Duration, j *job, candidate choice, soon time.Duration) time.Duration {
	if candidate.wait < c.cfg.BacklogWindow/2 {
		return soon
	}
	return max((j.deadlineAt-now)/retryDelayDivisor, minRetryAfter)
}
