package soak

import (
	"time"

	"github.com/aspenswitch/aspenswitch/routing"
)

// RequestKind is a kind of request that callers send.
type RequestKind uint8

// Kinds of requests.
const (
	// Repeatable may be repeated.
	Repeatable RequestKind = iota
	// AtMostOnce must run at most once.
	AtMostOnce
	// ResumableStream is a stream that may be resumed at another upstream.
	ResumableStream
	// AtMostOnceStream is a stream that must run at most once.
	AtMostOnceStream
	// Moving may be repeated; its route is moved between the services.
	Moving
	// Added may be repeated; its route was added during the run.
	Added
	// Crashing uses the route of Repeatable and crashes every upstream that runs it.
	Crashing
	// CrashingPart uses the route of ResumableStream and crashes every upstream that starts to
	// answer it; no two requests are alike.
	CrashingPart
)

const (
	host = "h.example"
	// requestTimeout is the timeout of routes without streams, streamTimeout that of streams.
	requestTimeout = 1500 * time.Millisecond
	streamTimeout  = 4 * time.Second
	// streamEvents and streamGap make a stream last half a second, so that most faults
	// hit some open streams.
	streamEvents = 20
	streamGap    = 25 * time.Millisecond
	// workDuration is the service time of a plain request.
	workDuration = 10 * time.Millisecond
)

// prefixes are the path prefixes of the kinds; each added route has its own.
var prefixes = map[RequestKind]string{
	Repeatable: "/look/", Crashing: "/look/", CrashingPart: "/long/", AtMostOnce: "/book/", ResumableStream: "/long/", AtMostOnceStream: "/feed/", Moving: "/move/",
}

func (k RequestKind) streaming() bool {
	return k == ResumableStream || k == AtMostOnceStream || k == CrashingPart
}

// atMostOnce reports whether a request must run at most once.
func (k RequestKind) atMostOnce() bool { return k == AtMostOnce || k == AtMostOnceStream }

func (k RequestKind) timeout() time.Duration {
	if k.streaming() {
		return streamTimeout
	}
	return requestTimeout
}

// route returns the route configuration of a kind.
func route(kind RequestKind, prefix, service string) routing.Route {
	r := routing.Route{
		Name: prefix, Host: host, Prefix: prefix, Kind: routing.Safe, Timeout: kind.timeout(),
		Target: 300 * time.Millisecond, MaxAttempts: 3, Split: []routing.Share{{Service: service, Weight: 1}},
	}
	switch kind {
	case AtMostOnce:
		r.Kind = routing.Unsafe
	case ResumableStream:
		r.Kind, r.Resumable, r.Sticky = routing.Streaming, true, true
	case AtMostOnceStream:
		r.Kind = routing.Streaming
	case Repeatable, Moving, Added, Crashing, CrashingPart:
	}
	return r
}
