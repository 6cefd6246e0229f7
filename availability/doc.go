// Package availability tracks the availability that upstreams report in their answers. It
// performs no I/O and starts no goroutines; callers pass in the current time.
package availability
