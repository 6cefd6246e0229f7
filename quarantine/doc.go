// Package quarantine identifies requests that crash the upstreams they are sent to, by
// request content, and decides which of them are no longer sent. It performs no I/O and
// starts no goroutines; the time is always an argument.
//
// A content is what all requests with the same team, method, host, URI and body have in
// common; Key identifies it. A trial is a request with a quarantined content that is
// sent to find out whether it still crashes upstreams. The hub of a content is the router
// that counts its crashes across the fleet and grants its trials (see package fleet).
package quarantine
