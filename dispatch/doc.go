// Package dispatch decides whether a request can be served in time, by which upstream, and
// when it is sent. It is pure: it does no I/O, starts no goroutines and takes the current
// time as an argument.
//
// One router, the home, runs a Core for each group of upstreams it is responsible for. All
// requests for the group pass through it, so it tracks the backlog, the running requests
// and the cached prompt parts of each upstream without load reports. Routers submit
// requests to the home before they send them, and report first bytes and completions.
// Decisions are advisory: the router that sends the request checks that the upstream may
// be used at all.
package dispatch
