package sched

import (
	"time"

	"github.com/aspenswitch/aspenswitch/fairness"
)

// RequestID identifies a request within one router.
type RequestID uint64

// Request holds the properties of a caller's request that scheduling depends on.
type Request struct {
	ID   RequestID
	Team fairness.TeamID
	Pool int
	// Deadline is when the caller stops waiting; zero for never.
	Deadline time.Time
	// PrefixHash is a hash of the first part of the prompt; 0 for none. An
	// upstream that recently served the same prefix is likely to have it in its
	// prefix cache.
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
