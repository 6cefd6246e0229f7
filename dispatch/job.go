package dispatch

import "time"

// job is a request that waits or runs.
type job struct {
	Request
	upstream *upstream
	state    state
	// copyFrom is the upstream from which cached parts are copied, or nil.
	copyFrom *upstream
	// foreignSource is an upstream of another group that may have foreignTokens of the prompt cached,
	// nil if there is none.
	foreignSource *upstream
	foreignTokens int
	// warming is set if the upstream was warming up when the job was sent to it.
	warming bool
	sentAt  time.Duration
	// startedAt is when the first byte arrived, 0 if that is unknown.
	startedAt time.Duration
	// inherited is set if the job was sent before this core became the home, so that sentAt is
	// too late.
	inherited bool
	// cost is the predicted time for which the job occupies the upstream: the prefill for an
	// engine, the whole service time for a plain service.
	cost time.Duration
	// usualCost is the cost at the upstream's usual speed, as predicted when the job was sent.
	usualCost time.Duration
	// prefillEndsAt is the predicted end of the prefill, see prefillQueue.
	prefillEndsAt time.Duration
	// firstByteDueAt is the predicted time of the first byte when the job was sent, and
	// prefillDeadline the time after which the prefill is overdue.
	firstByteDueAt  time.Duration
	prefillDeadline time.Duration
	// slotFreed is set once the job no longer counts as running, although it hasn't ended.
	slotFreed bool
	// chargedTokens is the charge against the team's share, see ChargedTokens.
	chargedTokens float64
	// reservedKV is the number of KV cache tokens that the job needs while it runs.
	reservedKV int
	// targetAt is when the first byte is due; sinceFirstAttempt is the time between the
	// caller's first attempt and this one.
	targetAt          time.Duration
	submittedAt       time.Duration
	sinceFirstAttempt time.Duration
	expiresAt         time.Duration
	shareStatus       shareStatus
	// deadlineAt is when the caller gives up; decodedAtStart is the engine's count of
	// decoded tokens when this answer started.
	deadlineAt     time.Duration
	decodedAtStart float64
	// reservation is the one with which the caller has returned, or nil.
	reservation *reservation
}

type state uint8

const (
	waiting state = iota
	// sent: the upstream hasn't returned the first byte.
	sent
	// started: the first byte was received.
	started
)

// continuesStream reports whether the job is a broken stream that must go on at one version.
func (j *job) continuesStream() bool { return j.Version != "" }

// before reports whether a is sent to an upstream before b. The order is by priority, then by
// share status, then broken streams before requests that may go to any version, which may be
// many more upstreams, then requests that can still meet their target before late ones. Teams
// above their share are ordered by recent usage, the lowest first. The rest is ordered by
// the latest possible start (earliest deadline first).
func (c *Core) before(a, b *job, now time.Duration) bool {
	if a.Priority != b.Priority {
		return a.Priority < b.Priority
	}
	if a.shareStatus != b.shareStatus {
		return a.shareStatus < b.shareStatus
	}
	if a.continuesStream() != b.continuesStream() {
		return a.continuesStream()
	}
	if aDue, bDue := a.reservationDue(now), b.reservationDue(now); aDue != bDue {
		return aDue
	} else if aDue {
		return a.reservation.at < b.reservation.at
	}
	if aLate, bLate := a.late(now), b.late(now); aLate != bLate {
		return bLate
	}
	if a.hasVoidReservation() != b.hasVoidReservation() {
		return a.hasVoidReservation()
	}
	if a.shareStatus == overFleetShare && a.Team != b.Team {
		return c.shares.recentUsage(now, a.Team) < c.shares.recentUsage(now, b.Team)
	}
	return a.targetAt-a.cost < b.targetAt-b.cost
}

// overShare reports whether the job's team was above its share when the job was submitted.
func (j *job) overShare() bool { return j.shareStatus == overFleetShare }

// late reports whether a job will certainly miss its target.
func (j *job) late(now time.Duration) bool {
	if j.sinceFirstAttempt > 0 {
		return now+j.cost > j.targetAt
	}
	return now > j.targetAt
}
