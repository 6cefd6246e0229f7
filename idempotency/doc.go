// Package idempotency sees to it that a request which must not be repeated runs
// at most once, with no store to ask.
//
// A router may run a key only when a quorum of the key's voters has given it
// their vote. A voter gives one vote a key, to the first router that asks, and
// remembers it for longer than callers repeat. Two quorums always share a voter,
// also where two routers' lists of VMs differ by two, so two routers can't both
// run the key. A voter that restarted has forgotten its votes: it abstains on
// every key that may be older than itself.
//
// The idea that a resent update is answered from the first run's result, and
// that a replica which cannot be sure answers "unknown" instead, is that of
// Bartoli, Prica and Antoniutti di Muro, "A replication framework for
// program-to-program interaction across unreliable networks", 2005. Its group
// communication and totally ordered multicast are not used: one vote a key is
// enough, since a key is written once.
//
// The package is pure: the time is an argument everywhere.
package idempotency
