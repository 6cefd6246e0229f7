package resumption

import "time"

// peerTimeout is the time within which an asked router must have answered. It covers a lost datagram
// that is sent again.
const peerTimeout = 250 * time.Millisecond

// Verdict is a decision on the continuation of a stream.
type Verdict uint8

// Verdicts.
const (
	// Wait: more may become known.
	Wait Verdict = iota
	// Continue: the stream continues at the version.
	Continue
	// Refuse: no version is known at which the stream may go on.
	Refuse
)

// Decision is the decision on a continuation.
type Decision struct {
	Verdict Verdict
	Version string
	// Source is where the version was recorded, or why it is unknown, for the log.
	Source string
}

// Query collects what is known about the origin of a stream. It answers the load of callers that
// continue streams after routers have failed.
type Query struct {
	// ID is 0 if the caller doesn't name the attempt that began the stream.
	ID      StreamID
	Service string
	// AskedAt is when the request arrived.
	AskedAt time.Duration
	// confirmTimeout is how long a state is awaited that was confirmed after the request.
	confirmTimeout time.Duration
	origin         *Origin
	source         string
	unanswered     map[uint64]bool
}

// NewQuery returns the query for a stream that the given routers may have recorded. confirmTimeout is the
// time within which the state is usually confirmed again.
func NewQuery(now time.Duration, id StreamID, service string, asked []uint64, confirmTimeout time.Duration) *Query {
	q := &Query{ID: id, Service: service, AskedAt: now, confirmTimeout: confirmTimeout, unanswered: map[uint64]bool{}}
	for _, router := range asked {
		q.unanswered[router] = true
	}
	return q
}

// Unanswered reports whether a router was asked and hasn't answered.
func (q *Query) Unanswered(router uint64) bool { return q.unanswered[router] }

// NotKnown records that an asked router has no record of the stream, or can't be asked.
func (q *Query) NotKnown(router uint64) { delete(q.unanswered, router) }

// Known records the origin of the stream, and which router recorded it.
func (q *Query) Known(origin Origin, source string) {
	if q.origin != nil && *q.origin != origin {
		origin.Version = ""
	}
	q.origin, q.source = &origin, source
}

// Decide returns the decision as of now. sole and evidence are the history's for the service.
func (q *Query) Decide(now time.Duration, sole string, evidence Evidence) Decision {
	if q.origin != nil {
		version, ok := q.origin.continuesAt(q.Service)
		if !ok {
			return Decision{Verdict: Refuse, Source: "the stream began at another service, or at a version that isn't known: " + q.source}
		}
		return Decision{Verdict: Continue, Version: version, Source: q.source}
	}
	waited := now - q.AskedAt
	switch {
	case evidence == Sole:
		return Decision{Verdict: Continue, Version: sole, Source: "only version"}
	case len(q.unanswered) > 0 && waited < peerTimeout, evidence == Unconfirmed && waited < q.confirmTimeout:
		return Decision{Verdict: Wait}
	case q.ID == 0:
		return Decision{Verdict: Refuse, Source: "the caller names no attempt, and several versions can have begun the stream"}
	case len(q.unanswered) > 0:
		return Decision{Verdict: Refuse, Source: "not all routers that may remember the stream have answered"}
	}
	return Decision{Verdict: Refuse, Source: "no router remembers the stream"}
}
