package sched

import (
	"time"

	"github.com/aspenswitch/aspenswitch/fairness"
)

// RequestID names a request within one router.
type RequestID uint64

// Request is what the decision needs to know of a caller's request.
type Request struct {
	ID   RequestID
	Team fairness.TeamID
	Pool int
	// Deadline is when the caller stops waiting; zero for never.
	Deadline time.Time
	// PrefixHash is a hash of the prompt's start; 0 for none. An upstream that
	// served it lately is likely to have it in its prefix cache.
	PrefixHash uint64
	// AvoidUpstream is an upstream that failed this request before; 0 for none.
	AvoidUpstream int
}

// running is a request that holds a slot.
type running struct {
	Request
	upstream int
	started  time.Time
}
