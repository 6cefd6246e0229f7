// Package idempotency ensures that a non-repeatable request runs at most once,
// without a shared store.
//
// A request is identified by its idempotency key; running a key means sending its
// request to an upstream. A router may run a key only after a quorum of the key's
// voters has granted it their votes. A voter grants one vote per key, to the
// first router that asks, and keeps it for longer than callers repeat. Any two
// quorums share a voter, even if the VM lists of two routers differ by two, so
// two routers can't both run the key. A restarted voter has lost its votes and
// abstains on every key that may be older than its process.
//
// Replying to a repeated update with the result of the first run, and with
// "unknown" where a replica can't be certain, follows Bartoli, Prica and
// Antoniutti di Muro, "A replication framework for program-to-program interaction
// across unreliable networks", 2005. Its group communication and totally ordered
// multicast are not used: one vote per key is enough, since a key is written
// once.
//
// The package does no I/O and reads no clock: the time is always an argument.
package idempotency
