// Package bundle defines the fleet-wide configuration: teams and their fair
// shares, pools, upstreams and limits, in one versioned file that two operators
// sign.
//
// It parses and validates a file and reports all findings at once, compares two
// versions, signs and verifies them, and decides which version a router may put in
// force (Acceptor). The package does no I/O.
package bundle
