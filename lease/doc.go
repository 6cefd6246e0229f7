// Package lease says which router may use which slots of an upstream.
//
// Every upstream has a home: the live router that rendezvous hashing picks. The
// home's Book grants slots; a router's Holding uses, parks and returns them.
// Both sides keep counters that only grow (granted by the home, returned by the
// holder), so messages may be lost, doubled or late without a slot being made
// or forgotten; a term numbers each relation between a book and a holder, and
// counters of another term are void. After Gray and Cheriton, "Leases: an
// efficient fault-tolerant mechanism for distributed file cache consistency",
// SOSP 1989.
//
// Safety: a holder counts its lease from when it sent the message that the home
// acknowledged, the home from when that message came. The holder's lease
// therefore ends first, on every pair of clocks that run at about the same
// rate, and a process that was paused finds it ended before it sends anything.
//
// The package is pure: the time is an argument everywhere.
package lease
