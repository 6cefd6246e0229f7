// Package boottime reads a clock that continues to advance while the VM is suspended.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Time is a CLOCK_BOOTTIME timestamp, the time since the VM booted.
//
// Leases and other expirations are measured on it. The monotonic clock of package
// time stops while a VM is suspended: after resuming, a process would still use a
// lease that expired in the meantime. The wall clock can jump.
type Time time.Duration

// Clock returns the current time.
type Clock func() Time

// Now returns the kernel's CLOCK_BOOTTIME. It falls back to the monotonic clock on
// kernels without it; all Linux kernels since 2.6.39 have it.
func Now() Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return Time(time.Since(processStart))
	}
	return Time(ts.Nano())
}

var processStart = time.Now()

// Sub returns the duration t-u.
func (t Time) Sub(u Time) time.Duration { return time.Duration(t - u) }

// Add returns the time t+d.
func (t Time) Add(d time.Duration) Time { return t + Time(d) }
