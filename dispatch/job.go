package dispatch

import "time"

// job is a request that waits or runs.
type job struct {
	Request
	upstream *upstream
	state    state
	// copyFrom is where the upstream copies parts from, nil if it doesn't.
	copyFrom *upstream
	// warming is set if the upstream was warming up when the job was sent to it.
	warming bool
	sentAt  time.Duration
	// cost is the predicted time that the upstream works on it alone.
	cost time.Duration
	// readBy is when the upstream should have read the prompt at the latest.
	readBy time.Duration
	// tokens is what it is charged, in tokens read and twice those generated.
	tokens float64
	// memory is the KV cache that it takes while it runs.
	memory int
	// targetAt is when the first byte is due; waited is how long before this attempt
	// the caller made its first.
	targetAt time.Duration
	askedAt  time.Duration
	waited   time.Duration
	expires  time.Duration
	standing standing
	// deadlineAt is when the caller gives up; givenAt what the engine had given its
	// streams when this answer began.
	deadlineAt time.Duration
	givenAt    float64
}

type state uint8

const (
	waiting state = iota
	// sent to the upstream, which hasn't answered with a first byte.
	sent
	// started to answer.
	started
)

// before reports whether a goes to an upstream before b: by rank; by how their teams
// stand; those above their share by who had least of late; then by who must start
// soonest (earliest deadline first).
func (c *Core) before(a, b *job, now time.Duration) bool {
	if a.Priority != b.Priority {
		return a.Priority < b.Priority
	}
	if a.standing != b.standing {
		return a.standing < b.standing
	}
	if aLate, bLate := a.late(now), b.late(now); aLate != bLate {
		return bLate
	}
	if a.standing == over && a.Team != b.Team {
		return c.teams.lately(now, a.Team) < c.teams.lately(now, b.Team)
	}
	return a.targetAt-a.cost < b.targetAt-b.cost
}

// over reports whether the job's team had its share when it came.
func (j *job) over() bool { return j.standing == over }

// late reports whether a job will miss its target for sure.
func (j *job) late(now time.Duration) bool {
	if j.waited > 0 {
		return now+j.cost > j.targetAt
	}
	return now > j.targetAt
}
