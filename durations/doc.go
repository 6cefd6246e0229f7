// Package durations estimates how long requests run, from those that have ended. It performs no I/O and
// reads no clock.
package durations
