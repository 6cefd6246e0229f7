package dispatch

import "time"

// Ticket identifies a request within the fleet.
type Ticket struct {
	// Router is the ID of the router that received the request from its caller, a random
	// number chosen at each start.
	Router uint64
	Seq    uint64
}

// Request describes a request to the core.
type Request struct {
	Ticket Ticket
	// ID is the caller's ID of the request, for the log.
	ID   string
	Team string
	// Priority orders requests; 0 comes first.
	Priority int
	// Prompt and Output are numbers of tokens; Output is the maximum to be generated. Both
	// are 0 for plain services.
	Prompt, Output int
	// Parts are the parts of the prompt in order, as far as they may be cached.
	Parts []Part
	// Target is the time left until the first byte is due, and Timeout until the deadline.
	Target, Timeout time.Duration
	// CacheHint is the ID of the upstream that the submitting router last used for these
	// parts. A new home has no record of the caches; the hint keeps sessions where their
	// parts are cached.
	CacheHint string
	// Avoid lists the upstreams that this request was already sent to.
	Avoid []string
	// Regions lists the regions whose upstreams may serve the request. Empty means all.
	Regions []string
	// Version is the software version at which a broken stream must go on, "" if the request may
	// run at any.
	Version string
	// Domain is the failure domain of the router that received the request, "" if unknown.
	Domain string
	// HandedOver is set if the home of another group had no room for the request. This core then
	// decides on it for good.
	HandedOver bool
}

// Usage is what a team got, in tokens.
type Usage struct {
	// Window is a sum that decays over the share window, and Recent one that decays over
	// one second.
	Window, Recent float64
}

// Part is a piece of a prompt.
type Part struct {
	ID     uint64
	Tokens int
}

// Verdict is the result of a scheduling decision.
type Verdict uint8

// Verdicts.
const (
	// Wait: the request is queued and a later decision follows.
	Wait Verdict = iota
	// Send: the request is sent to the upstream now.
	Send
	// Refuse: the request can't be served in time.
	Refuse
)

// Decision is the core's decision on a request.
type Decision struct {
	Ticket   Ticket
	Verdict  Verdict
	Upstream string
	// CopyFrom is the ID of an upstream that has more of the prompt cached, if copying it
	// is faster than prefilling it.
	CopyFrom string
	// RetryAfter is the predicted time until a request like this one would be accepted.
	RetryAfter time.Duration
	// PredictedFirstByte is the predicted time to first byte.
	PredictedFirstByte time.Duration
	// SinceFirstAttempt is the time between the caller's first attempt and this one.
	SinceFirstAttempt time.Duration
	// OverShare is set if the team got more than its share.
	OverShare bool
	// Warming is set if the upstream is warming up. The request must then be sent within
	// warmup.GrantTTL of its submission, or not at all.
	Warming bool
	// Allowance is the rate at which the submitting router may request for the team, in
	// tokens per second: 0 if it is not set, Unlimited if there is no bound.
	Allowance float64
	// Group is the index of the group of upstreams whose home decided.
	Group int
	// HandOver is set with Refuse if the group has no room for the request and the one with index
	// HandOverGroup has reported some. CopyFrom is then the upstream that has most of the prompt
	// cached.
	HandOver      bool
	HandOverGroup int
	// RouterOverloaded is set if no reply of a home was processed because the submitting
	// router is overloaded. Another router can take the request at once.
	RouterOverloaded bool
	// StaleState is set if the state of the submitting router has become too old to serve the request
	// while it waited.
	StaleState bool
	// Details holds the reasons of a refusal, for the log.
	Details RefusalDetails
}

// RefusalDetails is the state at the time of a refusal.
type RefusalDetails struct {
	ID, Team string
	// Served is the team's usage within the window in tokens, and Share the usage it is
	// entitled to; Share is 0 if there is no bound.
	Served, Share float64
	// Upstream is the ID of the best candidate, Backlog its backlog, and Waiting and
	// Running are the numbers of requests queued for it and running there.
	Upstream         string
	Backlog          time.Duration
	Waiting, Running int
	// Warming is the number of upstreams of the group that were warming up.
	Warming int
	// Slowdown is the expected slowdown of Upstream, 0 if it doesn't state its present speed.
	Slowdown float64
	// Reserved is the time until room is reserved for the caller, 0 if none is. NoRoom is set if
	// none is expected before the caller must return.
	Reserved time.Duration
	NoRoom   bool
}

// Outcome is how a request ended at its upstream.
type Outcome uint8

// Outcomes.
const (
	// Served: the answer was complete.
	Served Outcome = iota
	// Failed: the upstream returned an error or closed the connection early.
	Failed
	// Rejected: the upstream reported that it didn't run the request.
	Rejected
	// Unreachable: no connection could be established.
	Unreachable
	// Cancelled: the caller left or the request was abandoned. It does not count for or
	// against the upstream.
	Cancelled
	// TimedOut: the upstream sent nothing before the request's deadline.
	TimedOut
	// NotSent: the request wasn't sent, because its caller left or its router chose
	// another home or upstream.
	NotSent
)

// notRun reports whether the upstream certainly didn't run the request.
func (o Outcome) notRun() bool { return o == Rejected || o == NotSent }
