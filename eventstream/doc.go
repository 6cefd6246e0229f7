// Package eventstream finds the ends of events in streams of server-sent events
// (text/event-stream, WHATWG HTML section 9.2) and decides whether a stream that has ended is
// complete. It performs no I/O and accepts data that is split at any byte.
package eventstream
