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
	// AtMostOnce must run once at most.
	AtMostOnce
	// ResumableStream may go on at another upstream.
	ResumableStream
	// AtMostOnceStream is a stream that must run once at most.
	AtMostOnceStream
	// Moving may be repeated; its route moves from service to service.
	Moving
	// Added may be repeated; its route was added during the run.
	Added
	// Crashing uses the route of Lookup and crashes every upstream that runs it.
	Crashing
)

const (
	host = "h.example"
	// requestTimeout is the routes' limit, streamTimeout that of streams.
	requestTimeout = 1500 * time.Millisecond
	streamTimeout  = 4 * time.Second
	// streamEvents and streamGap make a stream of half a second, so that most
	// faults find some under way.
	streamEvents = 20
	streamGap    = 25 * time.Millisecond
	// workTakes is what a plain request takes.
	workTakes = 10 * time.Millisecond
)

// prefixes are where the kinds go; an added route has a prefix of its own.
var prefixes = map[RequestKind]string{
	Repeatable: "/look/", Crashing: "/look/", AtMostOnce: "/book/", ResumableStream: "/long/", AtMostOnceStream: "/feed/", Moving: "/move/",
}

func (k RequestKind) streams() bool { return k == ResumableStream || k == AtMostOnceStream }

// once reports whether a request may run only once.
func (k RequestKind) once() bool { return k == AtMostOnce || k == AtMostOnceStream }

func (k RequestKind) timeout() time.Duration {
	if k.streams() {
		return streamTimeout
	}
	return requestTimeout
}

// route is the configuration of a kind.
func route(kind RequestKind, prefix, service string) routing.Route {
	r := routing.Route{
		Name: prefix, Host: host, Prefix: prefix, Kind: routing.Safe, Timeout: kind.timeout(),
		Target: 300 * time.Millisecond, MaxAttempts: 3, Split: []routing.Share{{Service: service, Weight: 1}},
	}
	switch kind {
	case AtMostOnce:
		r.Kind = routing.Unsafe
	case ResumableStream:
		r.Kind, r.Resumable = routing.Streaming, true
	case AtMostOnceStream:
		r.Kind = routing.Streaming
	case Repeatable, Moving, Added, Crashing:
	}
	return r
}
