// Package boottime reads the clock that goes on while the VM is suspended.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Time is a moment on CLOCK_BOOTTIME, counted from the VM's start.
//
// Rights that end by themselves are measured on it. The monotonic clock of
// package time stands still while a VM is suspended: a process that woke would
// hold a right that ended during its sleep. The wall clock jumps.
type Time time.Duration

// Clock tells the present moment.
type Clock func() Time

// Now reads the kernel's clock. A kernel without it falls back to the
// monotonic clock, as all Linux kernels since 2.6.39 have it.
func Now() Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return Time(time.Since(processStart))
	}
	return Time(ts.Nano())
}

var processStart = time.Now()

// Sub is the time from u to t.
func (t Time) Sub(u Time) time.Duration { return time.Duration(t - u) }

// Add is the moment d after t.
func (t Time) Add(d time.Duration) Time { return t + Time(d) }
