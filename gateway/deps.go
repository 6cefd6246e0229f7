package gateway

import (
	"context"
	"time"

	"github.com/aspenswitch/aspenswitch/dispatch"
	"github.com/aspenswitch/aspenswitch/feed"
	"github.com/aspenswitch/aspenswitch/quarantine"
)

// StateReader is what the gateway reads of the platform's published state.
type StateReader interface {
	// Snapshot is nil until a configuration is known.
	Snapshot() *feed.Snapshot
	// Fresh reports whether the snapshot is fresh enough to act upon.
	Fresh() bool
	// Age is how long ago the snapshot was confirmed.
	Age() time.Duration
}

// Placer decides where requests go. Place waits until the decision is Send or
// Refuse, or ctx ends; after a Send, Done must be called once.
type Placer interface {
	Place(ctx context.Context, service string, r dispatch.Request) (dispatch.Decision, error)
	Started(service string, t dispatch.Ticket)
	// Group is the part of the service's upstreams whose home decides on a request.
	Group(service string, r dispatch.Request) int
	Done(service string, t dispatch.Ticket, o dispatch.Outcome, took time.Duration)
	// ReportShed notes a request that this router has refused without asking, so that its
	// caller is known when it comes back.
	ReportShed(service string, r dispatch.Request)
	// NewTicket names a request.
	NewTicket() dispatch.Ticket
	// Lag is how far the router is behind with its work.
	Lag() time.Duration
	// ReadLag is how late it reads what other routers send.
	ReadLag() time.Duration
	// ReportLeaving reports that an upstream is shutting down.
	ReportLeaving(service string, upstream dispatch.Incarnation)
	// ReportCrash reports that an upstream closed the connection after it had been handling
	// a request for the time ran.
	ReportCrash(id quarantine.ContentID, at dispatch.Incarnation, ran time.Duration)
	// ReportSuccess reports that a request received a complete response from an upstream.
	ReportSuccess(id quarantine.ContentID, from dispatch.Incarnation)
	// RequestTrial reports whether a request with a quarantined content may be sent as a
	// trial, to find out whether the content still crashes upstreams.
	RequestTrial(ctx context.Context, id quarantine.ContentID) bool
	// Quarantine returns the current statuses of contents; nil means that all are normal.
	Quarantine() *quarantine.View
	// Routers is the number of routers in the fleet.
	Routers() int
}
