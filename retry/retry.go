// Package retry decides whether a request that failed at an upstream may be retried, and which
// outcome is reported to the caller otherwise. It performs no I/O and starts no goroutines;
// the time is always an argument.
package retry

import "time"

// Outcome reports to a caller whether its request was run.
type Outcome string

const (
	// NotRun means that the request was certainly not run.
	NotRun Outcome = "not-run"
	// Unknown means that the request may have run.
	Unknown Outcome = "unknown"
	// Ran means that the upstream responded.
	Ran Outcome = "ran"
)

// Failure describes an attempt that received no complete response.
type Failure struct {
	// Sent is set if any part of the request may have been sent to the upstream.
	Sent bool
	// ResponseStarted is set if any part of the response has been sent to the caller.
	ResponseStarted bool
	// Repeatable is set if the request may run more than once.
	Repeatable bool
	// Attempt is the number of attempts so far, including this one.
	Attempt int
}

// Decision is the decision on a failed attempt.
type Decision struct {
	Retry   bool
	Outcome Outcome
}

// Policy configures retries.
type Policy struct {
	// MaxAttempts is the maximum number of attempts per request. A higher number hides more
	// failures, but multiplies the load when all upstreams fail.
	MaxAttempts int
	// AvoidDuration is how long this router sends no requests to an upstream after a failure.
	AvoidDuration time.Duration
}

// DefaultPolicy returns a policy for upstreams that fail one at a time.
func DefaultPolicy() Policy { return Policy{MaxAttempts: 3, AvoidDuration: 2 * time.Second} }

// Decide applies the policy to a failure. A request that was certainly not sent may always be
// retried. One that may have been sent is only retried if it is repeatable and the caller has
// received no part of a response: it would otherwise receive parts of two responses.
func (p Policy) Decide(f Failure) Decision {
	d := Decision{Outcome: Unknown}
	if !f.Sent {
		d.Outcome = NotRun
	}
	safe := !f.Sent || (f.Repeatable && !f.ResponseStarted)
	d.Retry = safe && f.Attempt < p.MaxAttempts
	return d
}
