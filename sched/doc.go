// Package sched is the scheduling core of one router: it decides which waiting
// request goes to which upstream, and which messages the routers exchange so
// that the whole fleet serves its teams fairly.
//
// A Node combines the accounts and queues of package fairness, the slot leases
// of package lease, the adaptive limits of package limits and the view of
// package membership. It is pure: it starts no goroutine, does no I/O and reads
// no clock. Its methods take the time and an event; the resulting actions are
// returned by Actions. The daemon and the benchmarks drive the same Node.
//
// In short: a request waits at the router that received it. Every upstream has a
// home router, which leases the upstream's slots. When a slot becomes idle, its
// holder serves its own team with the lowest key, unless that team is ahead of
// the fleet's least served waiting team by more than the hysteresis: in that
// case the slot is returned to its home, which grants it to the router where the
// least served team waits.
package sched
