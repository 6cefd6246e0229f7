// Package sched is the scheduling core of one router: it decides which waiting
// request is sent to which upstream, and which messages the routers exchange so
// that the whole fleet serves its teams fairly.
//
// A Node combines the accounts and queues of package fairness, the slot leases
// of package lease, the adaptive limits of package limits and the view of
// package membership. It is pure: it starts no goroutine, does no I/O and reads
// no clock. Its methods take the time and an event; the resulting actions are
// returned by Actions. The daemon and the benchmarks drive the same Node.
//
// In short: a request waits at the router that received it. Every upstream has a
// home router, which leases the upstream's slots. When a slot becomes idle, the
// router that holds it serves the team with the lowest key (its weighted service
// so far) among those waiting there, unless that key exceeds the lowest key of a
// team waiting elsewhere by more than Config.Hysteresis mean request costs. In that
// case the slot is returned to its home, which grants it to the router where the
// team with the lowest key waits.
//
// The package is used by daemon.Daemon, the router configured by signed bundles.
// daemon.FleetDaemon, the router on the users' platform, uses packages gateway,
// fleet, dispatch and feed instead.
package sched
