package sched

import (
	"time"

	"github.com/aspenswitch/aspenswitch/fairness"
)

// Config tunes a Node. The defaults are what `make bench` measured best.
type Config struct {
	// Router is the name of this router's VM.
	Router string
	// Incarnation is new with each start of the process and never 0.
	Incarnation uint64
	// Fairness tunes the accounts.
	Fairness fairness.Config
	// Hysteresis is how far, in mean costs per unit of share, a holder's best
	// team may be ahead of the fleet's least served waiting team before an idle
	// slot moves there. Lower narrows the fairness gap; higher saves control
	// bytes and the round trip that a moving slot is idle.
	Hysteresis float64
	// ReportEvery is the shortest time between two reports of accounts. Longer
	// gathers more into one message; the accounts are extrapolated meanwhile.
	ReportEvery time.Duration
	// SlotRequestSpacing is the shortest time between two asks for slots, in mean costs,
	// while requests of this router run in the pool. Longer saves control bytes
	// where the fleet is just full; a request may wait so much longer beside
	// another's idle slot.
	SlotRequestSpacing float64
	// Heartbeat is the longest time between two messages to a peer. A lease
	// lives for LeaseTTL after one, so it must be a small part of that.
	Heartbeat time.Duration
	// LeaseTTL is how long a slot stays leased after the last message. Shorter
	// frees a dead router's slots sooner; a router that pauses for longer loses
	// its slots.
	LeaseTTL time.Duration
	// SuspectAfter is the silence after which a router is no home any more.
	SuspectAfter time.Duration
	// QueuePerTeam bounds the requests of one team that wait at this router.
	QueuePerTeam int
	// MeanCost is assumed, in slot seconds, until requests have ended.
	MeanCost float64
}

// DefaultConfig returns the settings for routers a few milliseconds apart.
func DefaultConfig(router string, incarnation uint64) Config {
	return Config{
		Router:             router,
		Incarnation:        incarnation,
		Fairness:           fairness.DefaultConfig(),
		Hysteresis:         1,
		ReportEvery:        250 * time.Millisecond,
		SlotRequestSpacing: 0.05,
		Heartbeat:          500 * time.Millisecond,
		LeaseTTL:           3 * time.Second,
		SuspectAfter:       2500 * time.Millisecond,
		QueuePerTeam:       1000,
		MeanCost:           1,
	}
}
