package soak

import (
	"time"

	"github.com/aspenswitch/aspenswitch/routing"
)

// RouteKind is a kind of request that callers send.
type RouteKind uint8

// Kinds of requests.
const (
	// Lookup may be repeated.
	Lookup RouteKind = iota
	// Booking must run once at most.
	Booking
	// Stream may go on at another upstream.
	Stream
	// Feed is a stream that must run once at most.
	Feed
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
var prefixes = map[RouteKind]string{
	Lookup: "/look/", Crashing: "/look/", Booking: "/book/", Stream: "/long/", Feed: "/feed/", Moving: "/move/",
}

func (k RouteKind) streams() bool { return k == Stream || k == Feed }

// once reports whether a request may run only once.
func (k RouteKind) once() bool { return k == Booking || k == Feed }

func (k RouteKind) timeout() time.Duration {
	if k.streams() {
		return streamTimeout
	}
	return requestTimeout
}

// route is the configuration of a kind.
func route(kind RouteKind, prefix, service string) routing.Route {
	r := routing.Route{
		Name: prefix, Host: host, Prefix: prefix, Kind: routing.Safe, Timeout: kind.timeout(),
		Target: 300 * time.Millisecond, MaxAttempts: 3, Split: []routing.Share{{Service: service, Weight: 1}},
	}
	switch kind {
	case Booking:
		r.Kind = routing.Unsafe
	case Stream:
		r.Kind, r.Resumable = routing.Streaming, true
	case Feed:
		r.Kind = routing.Streaming
	case Lookup, Moving, Added, Crashing:
	}
	return r
}
