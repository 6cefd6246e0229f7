// Package router connects the scheduler to the network. A single control goroutine
// owns all control state: the scheduler node, the bundle acceptor, the idempotency
// voter and the idempotency records. Request handlers send it typed messages.
//
// The package is used by daemon.Daemon, the router configured by signed bundles.
// daemon.FleetDaemon, the router on the users' platform, uses packages gateway,
// fleet, dispatch and feed instead.
package router
