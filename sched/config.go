package sched

import (
	"time"

	"github.com/aspenswitch/aspenswitch/fairness"
)

// Config tunes a Node. The defaults gave the best results in `make bench`.
type Config struct {
	// Router is the name of this router's VM.
	Router string
	// Incarnation differs for each start of the process and is never 0.
	Incarnation uint64
	// Fairness tunes the accounts.
	Fairness fairness.Config
	// Hysteresis is how far, in mean costs per unit of share, a holder's next
	// team may be ahead of the fleet's least served waiting team before an idle
	// slot moves there. A lower value narrows the fairness gap; a higher value
	// saves control bytes and the round trip during which a moving slot is idle.
	Hysteresis float64
	// ReportEvery is the minimum time between two reports of accounts. A longer
	// interval puts more into one message; peers extrapolate the accounts in the
	// meantime.
	ReportEvery time.Duration
	// SlotRequestSpacing is the minimum time between two requests for slots, in
	// mean costs, while requests of this router run in the pool. A higher value
	// saves control bytes when the fleet is just saturated; a request may wait
	// for that much longer while another router has an idle slot.
	SlotRequestSpacing float64
	// Heartbeat is the maximum time between two messages to a peer. A lease ends
	// LeaseTTL after a message, so Heartbeat must be a small part of LeaseTTL.
	Heartbeat time.Duration
	// LeaseTTL is how long a slot stays leased after the last message. A shorter
	// time frees the slots of a failed router sooner; a router that pauses for
	// longer than LeaseTTL loses its slots.
	LeaseTTL time.Duration
	// SuspectAfter is the silence after which a router is no longer a home.
	SuspectAfter time.Duration
	// QueuePerTeam is the maximum number of requests of one team that wait at
	// this router.
	QueuePerTeam int
	// MeanCost is the initial estimate of a request's cost, in slot seconds.
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
