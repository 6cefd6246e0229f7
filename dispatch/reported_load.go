package dispatch

import "time"

// reportedLoad is what an upstream states of its load, and what is learnt with it.
type reportedLoad struct {
	speed  presentSpeed
	others otherRequests
	// usualServiceMs averages the service time of a plain service at the usual speed, in milliseconds.
	usualServiceMs average
}

// observeLoad records a load that states the present speed.
func (u *upstream) observeLoad(now time.Duration, r LoadReport) {
	if u.reported == nil {
		u.reported = &reportedLoad{
			speed:  newPresentSpeed(now-r.Age, r.Slowdown),
			others: otherRequests{knownSince: now, peakSince: now},
		}
	}
	u.reported.speed.observe(now-r.Age, r.Slowdown)
	u.reported.others.observe(now, r, u.running, u.Slots)
	u.updateSlowdown(now)
}

// updateSlowdown updates the slowdown and the predictions for the prompts that the upstream was sent.
func (u *upstream) updateSlowdown(now time.Duration) {
	if u.reported == nil {
		return
	}
	previous := u.slowdown
	u.slowdown = u.reported.speed.slowdown(now)
	u.reported.others.expire(now)
	if u.slowdown != previous {
		u.prefills.rescale(now, u.slowdown/previous)
	}
}

// prefillFactor returns the ratio of the present time of a prefill to its prediction from the
// configuration.
func (u *upstream) prefillFactor() float64 { return u.learnt.factor * u.slowdown }

// prefillSlowdown returns the mean slowdown during a measured prefill whose first byte arrives now. delayed is
// set if the measured time includes the delay, during which the upstream doesn't work on it.
func (u *upstream) prefillSlowdown(now, measured time.Duration, delayed bool) float64 {
	if u.reported == nil {
		return 1
	}
	if delayed {
		measured -= u.learnt.delay
	}
	end := now - u.learnt.delay
	return u.reported.speed.meanSlowdown(end-max(measured, 0), end)
}

// updateUsualServiceTime records the service time of a plain service that ended now.
func (u *upstream) updateUsualServiceTime(now, took time.Duration) {
	if u.reported != nil {
		u.reported.usualServiceMs.add(now, milliseconds(took)/u.reported.speed.meanSlowdown(now-took, now))
	}
}

// setRunning sets the number of this core's requests.
func (u *upstream) setRunning(now time.Duration, n int) {
	if u.reported != nil {
		u.reported.others.observeOwn(now, max(u.running, n))
	}
	u.running = n
}

// adoptRequest records that a request which a router has sent is now known to this core.
func (u *upstream) adoptRequest() {
	if u.reported != nil {
		u.reported.others.adopt()
	}
}

// occupied returns the number of requests that the upstream has, from this core and as far as stated from
// elsewhere.
func (u *upstream) occupied() int {
	if u.reported == nil {
		return u.running
	}
	return u.running + u.reported.others.count
}
