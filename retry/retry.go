// Package retry decides whether a request that failed at an upstream may be
// sent again, and what the caller is told if not. The package is pure.
package retry

import "time"

// Outcome tells a caller what became of its request.
type Outcome string

// Outcomes.
const (
	// NotRun: the request truly did not run.
	NotRun Outcome = "not-run"
	// Unknown: the request may have run.
	Unknown Outcome = "unknown"
	// Ran: the upstream answered.
	Ran Outcome = "ran"
)

// Failure is what is known of a request that got no whole answer.
type Failure struct {
	// Sent is set if any of the request may have left for the upstream.
	Sent bool
	// ResponseStarted is set if a part of the answer has gone to the caller.
	ResponseStarted bool
	// Repeatable requests are idempotent.
	Repeatable bool
	// Attempt counts the tries so far, this one included.
	Attempt int
}

// Decision is what to do after a failure.
type Decision struct {
	Retry   bool
	Outcome Outcome
}

// Policy bounds retries.
type Policy struct {
	// MaxAttempts is the most times that a request is tried. More hide more
	// failures and multiply the load when all upstreams fail.
	MaxAttempts int
	// AvoidDuration is how long an upstream that failed gets no work from this router.
	AvoidDuration time.Duration
}

// DefaultPolicy returns a policy for upstreams that fail one at a time.
func DefaultPolicy() Policy { return Policy{MaxAttempts: 3, AvoidDuration: 2 * time.Second} }

// Decide applies the policy. A request that can't have left may always be sent
// again; one that may have left only if it is repeatable, and if nothing of an
// answer has gone to the caller, who would else get two answers in one.
func (p Policy) Decide(f Failure) Decision {
	d := Decision{Outcome: Unknown}
	if !f.Sent {
		d.Outcome = NotRun
	}
	safe := !f.Sent || (f.Repeatable && !f.ResponseStarted)
	d.Retry = safe && f.Attempt < p.MaxAttempts
	return d
}
