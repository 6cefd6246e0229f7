package dispatch

import "time"

// prefillFactor returns the ratio of the present time of a prefill to its prediction from the
// configuration.
func (u *upstream) prefillFactor() float64 { return u.learnt.factor * u.slowdown }

// updateSlowdown updates the slowdown and the predictions for the prompts that the upstream was sent.
func (u *upstream) updateSlowdown(now time.Duration) {
	previous := u.slowdown
	u.slowdown = u.speed.slowdown(now)
	if u.slowdown != previous {
		u.prefills.rescale(now, u.slowdown/previous)
	}
}

// rescale multiplies the predicted time of the prefill that isn't done yet by ratio.
func (q *prefillQueue) rescale(now time.Duration, ratio float64) {
	for i, j := range q.jobs {
		left := j.cost
		if i == 0 {
			left = min(max(j.prefillEndsAt-now, 0), j.cost)
		}
		j.cost += time.Duration(float64(left) * (ratio - 1))
	}
	q.predict(0)
}

// updateUsualServiceTime records the service time of a plain service that ended now.
func (u *upstream) updateUsualServiceTime(now, took time.Duration) {
	if u.speed.stated() {
		u.usualServiceMs.add(now, milliseconds(took)/u.speed.meanSlowdown(now-took, now))
	}
}
