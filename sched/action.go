package sched

import "time"

// Action is something the owner of a Node must do: a Dispatch,
// a Refuse, a Send or a Redial.
type Action interface{ action() }

// Dispatch sends a request to an upstream now.
type Dispatch struct {
	Request  RequestID
	Upstream int
	// LeaseExpiry is the end of the lease that the slot is under. Check it at the last
	// moment before sending.
	LeaseExpiry time.Time
}

// Redial replaces the connection to a peer that doesn't acknowledge: it may
// have gone silent while new ones work.
type Redial struct{ To string }

// Refuse answers a request as not run, at once.
type Refuse struct {
	Request RequestID
	Reason  Reason
	// RetryAfter is when the caller may come back, from the measured drain rate.
	RetryAfter time.Duration
}

// Send passes a message to a peer.
type Send struct {
	To   string
	Sync Sync
}

func (Dispatch) action() {}
func (Refuse) action()   {}
func (Send) action()     {}
func (Redial) action()   {}

// Reason is why a request was refused.
type Reason string

// Reasons for a refusal; all of them mean that the request did not run.
const (
	QueueFull      Reason = "queue-full"
	DeadlinePassed Reason = "deadline"
	ShuttingDown   Reason = "shutting-down"
	NoPool         Reason = "no-pool"
)
