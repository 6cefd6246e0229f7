// Package quarantine identifies requests by their content, to find those that crash the
// upstreams that run them. It performs no I/O and starts no goroutines.
package quarantine
