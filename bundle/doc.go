// Package bundle holds the operators' settings for the whole fleet: teams and
// the share each is owed, upstreams, and limits, in one versioned file that two
// operators sign.
//
// It parses and checks a file with all findings at once, compares two versions,
// signs and verifies, and decides which version a router may put in force
// (Acceptor). The package is pure.
package bundle
