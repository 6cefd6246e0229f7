// Package sched is the decision core of one router: which waiting request goes
// to which upstream, and what the routers tell each other so that the whole
// fleet serves its teams fairly.
//
// A Node ties the accounts and queues of package fairness, the slot leases of
// package lease, the learned limits of package limits and the view of package
// membership together. It is pure: it starts no goroutine, does no I/O and
// reads no clock. Its methods take the time and an event; what is to be done
// comes back from Actions. The daemon and the benchmarks drive the same Node.
//
// In short: a request waits at the router that received it. Every upstream has
// a home router, which leases the upstream's slots. When a slot falls idle, its
// holder serves its own best team, unless that team is ahead of the fleet's
// least served waiting team by more than the hysteresis: then the slot goes
// back to its home, which grants it where the least served team waits.
package sched
