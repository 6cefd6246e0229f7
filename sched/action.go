package sched

import "time"

// Action is an instruction to the owner of a Node: a Dispatch, a Refuse, a Send
// or a Redial.
type Action interface{ action() }

// Dispatch sends a request to an upstream. It is unrelated to package dispatch.
type Dispatch struct {
	Request  RequestID
	Upstream int
	// LeaseExpiry is the end of the lease of the slot. The owner must check it
	// immediately before sending.
	LeaseExpiry time.Time
}

// Redial replaces the connection to a peer that doesn't acknowledge messages:
// the connection may have stopped working while a new one would succeed.
type Redial struct{ To string }

// Refuse rejects a request immediately, with the outcome that it did not run.
type Refuse struct {
	Request RequestID
	Reason  Reason
	// RetryAfter is the delay before the caller should retry, from the measured
	// drain rate.
	RetryAfter time.Duration
}

// Send sends a message to a peer.
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

// Reasons for a refusal; with each of them the request did not run.
const (
	QueueFull      Reason = "queue-full"
	DeadlinePassed Reason = "deadline"
	ShuttingDown   Reason = "shutting-down"
	NoPool         Reason = "no-pool"
)
