// Package quarantine identifies requests that crash the upstreams they are sent to, by
// request content, and decides which of them are no longer sent. It performs no I/O and
// starts no goroutines; callers pass in the current time.
package quarantine
