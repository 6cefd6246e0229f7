package dispatch

import "time"

// Ticket names a request over the whole fleet.
type Ticket struct {
	// Router is the incarnation of the router that holds the request.
	Router uint64
	Seq    uint64
}

// Request is what the core knows of a request.
type Request struct {
	Ticket Ticket
	// ID is the caller's name for the request, for the log.
	ID   string
	Team string
	// Priority is the priority; 0 goes first.
	Priority int
	// Prompt and Output are tokens; Output is the most that may be generated.
	// Both are 0 for plain services.
	Prompt, Output int
	// Parts of the prompt in order, as far as they may be cached.
	Parts []Part
	// Target is the time left to the first byte; Timeout the time to the deadline.
	Target, Timeout time.Duration
	// CacheHint is the upstream that the asking router last used for these parts. A
	// new home has no memory; this keeps sessions where their parts are cached.
	CacheHint string
	// Avoid are upstreams that this request has been to.
	Avoid []string
	// Regions are those whose upstreams may serve it; empty means all.
	Regions []string
}

// Usage is what a team got, in tokens.
type Usage struct {
	// Window is a sum that decays over the span of teams' shares, Recent one that decays
	// over a second.
	Window, Recent float64
}

// Part is a piece of a prompt.
type Part struct {
	ID     uint64
	Tokens int
}

// Verdict is what becomes of a request.
type Verdict uint8

// Verdicts.
const (
	// Wait: a later decision follows.
	Wait Verdict = iota
	// Send: the request goes to the upstream now.
	Send
	// Refuse: the request can't be served in time.
	Refuse
)

// Decision is the core's answer to a request.
type Decision struct {
	Ticket   Ticket
	Verdict  Verdict
	Upstream string
	// CopyFrom is an upstream that has more of the prompt cached, if copying it is
	// worth it.
	CopyFrom string
	// RetryAfter is when a request like this one would be served.
	RetryAfter time.Duration
	// PredictedFirstByte is the time to the first byte that was predicted.
	PredictedFirstByte time.Duration
	// SinceFirstAttempt is how long before this attempt the caller made its first.
	SinceFirstAttempt time.Duration
	// OverShare is set if the team had more than its share.
	OverShare bool
	// Warming is set if the upstream is warming up. The request must then be sent within
	// warmup.GrantTTL of the question, or not at all.
	Warming bool
	// Allowance is what the asking router may ask for the team, in tokens a second:
	// 0 if nothing is told, Unlimited if there is no bound.
	Allowance float64
	// Group is the part of the service's upstreams whose home decided.
	Group int
	// RouterOverloaded is set if no home was heard because the asking router is behind with
	// its work; another router can take the request at once.
	RouterOverloaded bool
	// RefusalDetails is what a refusal rests on, for the log.
	Details RefusalDetails
}

// Basis is what was known when a request was refused.
type RefusalDetails struct {
	ID, Team string
	// Served and Share are the team's tokens within the window and what it was
	// owed of them; Share is 0 while shares don't matter.
	Served, Share float64
	// Upstream was the best choice; Backlog is its work ahead, Waiting and Running
	// the requests that waited for it and ran there.
	Upstream         string
	Backlog          time.Duration
	Waiting, Running int
	// Warming is how many upstreams of the group were warming up.
	Warming int
}

// Outcome is how a request ended at its upstream.
type Outcome uint8

// Outcomes.
const (
	// Served: a whole answer came.
	Served Outcome = iota
	// Failed: the upstream answered with a failure or broke off.
	Failed
	// Rejected: the upstream said that it didn't run the request.
	Rejected
	// Unreachable: no connection could be had.
	Unreachable
	// Cancelled: the caller left or the request was given up; it says nothing of
	// the upstream.
	Cancelled
	// TimedOut: nothing came until the request's deadline.
	TimedOut
	// NotSent: the request wasn't sent; its caller left first, or its router turned to
	// another home or upstream.
	NotSent
)

// unrun reports whether an upstream certainly didn't run the request.
func (o Outcome) unrun() bool { return o == Rejected || o == NotSent }
