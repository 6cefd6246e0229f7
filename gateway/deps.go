package gateway

import (
	"context"
	"time"

	"github.com/aspenswitch/aspenswitch/dispatch"
	"github.com/aspenswitch/aspenswitch/feed"
	"github.com/aspenswitch/aspenswitch/quarantine"
	"github.com/aspenswitch/aspenswitch/resumption"
)

// StateReader provides the platform's published state.
type StateReader interface {
	// Snapshot returns nil until a configuration has been loaded.
	Snapshot() *feed.Snapshot
	// Fresh reports whether the snapshot is fresh enough to act upon.
	Fresh() bool
	// Age returns the time since the snapshot was last confirmed.
	Age() time.Duration
}

// Placer assigns requests to upstreams. Place blocks until the decision is Send or
// Refuse, or ctx is done; after a Send, Done must be called exactly once.
//
// The upstreams of a service are divided into groups. The placement decisions of a
// group are made by one router, its home.
type Placer interface {
	Place(ctx context.Context, service string, r dispatch.Request) (dispatch.Decision, error)
	// Started reports the first byte of a response, and the load that its upstream stated, the
	// zero value if it stated none.
	Started(service string, t dispatch.Ticket, load dispatch.LoadReport)
	// Group returns the group of the service's upstreams whose home decides on a request.
	Group(service string, r dispatch.Request) int
	Done(service string, t dispatch.Ticket, o dispatch.Outcome, took time.Duration)
	// ReportShed reports a request that this router refused without asking the home, so
	// that the home recognizes its caller on the next attempt.
	ReportShed(service string, r dispatch.Request)
	// NewTicket returns a unique ID for a placement request.
	NewTicket() dispatch.Ticket
	// Lag returns how long work currently waits at this router before it is processed.
	Lag() time.Duration
	// ReadLag returns the delay with which messages of other routers are read.
	ReadLag() time.Duration
	// ReportLeaving reports that an upstream is shutting down.
	ReportLeaving(service string, upstream dispatch.Incarnation)
	// ReportStreamBegan reports where the stream of an attempt began, before its first event is
	// sent to the caller.
	ReportStreamBegan(attempt string, origin resumption.Origin)
	// StreamVersion finds the software version at which a stream continues that the named attempt
	// began, within window before the request. attempt is "" if the caller names none.
	StreamVersion(ctx context.Context, service, attempt string, window time.Duration) resumption.Decision
	// ReportCrash reports that an upstream closed the connection after it had been handling
	// a request for the time ran.
	ReportCrash(request quarantine.Interruption, upstream dispatch.Incarnation, ran time.Duration)
	// ReportUnconfirmedEnd reports a stream that ended with its connection before its answer had
	// started, ran after it was sent. It is a success of the request, or a crash of the upstream if that
	// interrupts other requests.
	ReportUnconfirmedEnd(request quarantine.Interruption, upstream dispatch.Incarnation, ran time.Duration)
	// ReportSuccess reports that a request received a complete response from an upstream.
	ReportSuccess(content quarantine.Key, from dispatch.Incarnation)
	// ReportStarted reports that an upstream has started to answer a prompt with these parts.
	ReportStarted(parts []dispatch.Part, from dispatch.Incarnation)
	// RequestTrial reports whether a request with quarantined keys may be sent as a trial, to find
	// out whether they still crash upstreams.
	RequestTrial(ctx context.Context, keys []quarantine.Key) bool
	// EndTrial reports that a request has ended without a result that might be sent as a trial.
	EndTrial(keys []quarantine.Key)
	// AwaitQuarantine waits, after the start of this router, until it has the statuses that its peers
	// have.
	AwaitQuarantine(ctx context.Context)
	// Quarantine returns the current statuses of keys; nil means that all are normal.
	Quarantine() *quarantine.View
	// Routers returns the largest number of live routers seen at any time since the start of
	// this router, including itself.
	Routers() int
}
