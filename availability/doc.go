// Package availability tracks the availability that upstreams report in their answers. It
// performs no I/O and starts no goroutines; the time is always an argument.
package availability
