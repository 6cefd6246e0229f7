// Package dispatch decides whether a request can be served in time, by which upstream, and
// when it is sent. It is pure: it does no I/O, starts no goroutines and takes the current
// time as an argument.
//
// One router, the home, runs a Core for each group of upstreams it is responsible for.
// Routers submit each request for the group to the home before they send it, and report
// its first byte and completion. The request itself is sent directly from the router that
// received it to the upstream. The home thus tracks the backlog, the running requests and
// the cached prompt parts of each upstream without load reports. Decisions are advisory:
// the router that sends the request checks that the upstream may be used at all.
//
// daemon.FleetDaemon, the router that reads its configuration and upstreams from the
// platform's store (package feed), uses this package together with packages
// gateway, fleet and feed. daemon.Daemon, the router configured by signed bundles, uses
// packages callers, router, sched and lease instead.
package dispatch
