// Package router connects the scheduler to the network. A single control goroutine
// owns all control state: the scheduler node, the bundle acceptor, the idempotency
// voter and the idempotency records. Request handlers send it typed messages.
//
// The package is used by daemon.Daemon, the router configured by signed bundles.
// daemon.FleetDaemon, the router that reads its configuration and upstreams from the
// platform's store (package feed), uses packages gateway, fleet, dispatch and feed
// instead.
package router
