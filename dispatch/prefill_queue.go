package dispatch

import (
	"slices"
	"time"
)

// prefillQueue predicts when an engine has prefilled the prompts that it was sent. Engines
// prefill in the order of arrival; the first byte of an answer follows its prefill after a
// delay in which the engine continues with the next prompt.
type prefillQueue struct {
	// jobs holds the jobs sent and not started, oldest first.
	jobs []*job
	// freeAt is when the engine could begin with the oldest of them: the predicted end of the
	// prefill before it.
	freeAt time.Duration
	// previousEndedAt is when the job of that prefill had its first byte, or ended without
	// one.
	previousEndedAt      time.Duration
	previousHadFirstByte bool
}

// add appends a job that is sent now.
func (q *prefillQueue) add(now, delay time.Duration, j *job) {
	// The prediction for the new job starts from where the overdue ones are expected now.
	if late := q.lateness(now, delay); late > 0 {
		for _, queued := range q.jobs {
			queued.prefillEndsAt += late
		}
	}
	q.jobs = append(q.jobs, j)
	q.predict(len(q.jobs) - 1)
}

// predict updates the predicted ends of the jobs from index i on.
func (q *prefillQueue) predict(i int) {
	end := q.freeAt
	if i > 0 {
		end = q.jobs[i-1].prefillEndsAt
	}
	for _, j := range q.jobs[i:] {
		end = max(end, j.sentAt) + j.cost
		j.prefillEndsAt = end
	}
}

// lateness returns by how much the first byte of the oldest job is overdue.
func (q *prefillQueue) lateness(now, delay time.Duration) time.Duration {
	if len(q.jobs) == 0 {
		return 0
	}
	return max(now-delay-q.jobs[0].prefillEndsAt, 0)
}

// endsAt returns the predicted end of the last prefill. If the oldest is overdue, all others
// are assumed to be as late.
func (q *prefillQueue) endsAt(now, delay time.Duration) time.Duration {
	if len(q.jobs) == 0 {
		return q.freeAt
	}
	return q.jobs[len(q.jobs)-1].prefillEndsAt + q.lateness(now, delay)
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

// remove removes a job whose first byte arrived, or that ended without one. It reports
// whether the job was in the queue.
func (q *prefillQueue) remove(now, delay time.Duration, j *job, firstByte bool) bool {
	i := slices.Index(q.jobs, j)
	if i < 0 {
		return false
	}
	q.jobs = slices.Delete(q.jobs, i, i+1)
	if i == 0 {
		q.freeAt, q.previousEndedAt, q.previousHadFirstByte = now, now, firstByte
		if firstByte {
			q.freeAt = max(now-delay, j.sentAt)
		}
	}
	q.predict(i)
	return true
}

// observe returns the measured prefill time of a job whose first byte arrives now, and
// whether it includes the delay. It does for a job that was sent to an idle engine; between
// the first bytes of two prompts that were prefilled one after the other the delay cancels
// out. maxDelay is an upper bound of the delay. ok is false if neither is certain.
func (q *prefillQueue) observe(now, maxDelay time.Duration, j *job) (measured time.Duration, delayed, ok bool) {
	switch {
	case len(q.jobs) == 0 || q.jobs[0] != j:
		return 0, false, false
	case j.sentAt >= q.previousEndedAt:
		return now - j.sentAt, true, true
	case q.previousHadFirstByte && j.sentAt <= q.previousEndedAt-maxDelay:
		return now - q.previousEndedAt, false, true
	}
	return 0, false, false
}
