// Package gateway forwards callers' requests to upstreams and relays the responses.
//
// It guarantees that a response is either complete and belongs to its caller's
// request, or is visibly incomplete; that a non-repeatable request is sent at most
// once; and that the outcome "not-run" is reported only for a request of which no
// byte can have reached an upstream, or which the upstream itself reported as not run.
//
// daemon.FleetDaemon, the router that reads its configuration and upstreams from the
// platform's store (package feed), uses this package together with packages
// fleet, dispatch and feed. daemon.Daemon, the router configured by signed bundles, uses
// packages callers, router, sched and lease instead.
package gateway
