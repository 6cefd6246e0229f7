package daemon

import (
	"context"
	"runtime"
	"time"

	"golang.org/x/sys/unix"

	"github.com/aspenswitch/aspenswitch/gateway"
)

// loadEvery is the time between two lines on the load: short enough to see a flood
// of some seconds, at half a line a second.
const loadEvery = 2 * time.Second

// tellLoad writes what callers asked for and what it cost, while they ask.
func (d *FleetDaemon) tellLoad(ctx context.Context) {
	ticker := time.NewTicker(loadEvery)
	defer ticker.Stop()
	var last gateway.Load
	var used time.Duration
	var calls int64
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		l, cpu, called := d.gateway.Load(), processorTime(), d.feed.Calls()
		if l.Received != last.Received || called != calls {
			var m runtime.MemStats
			runtime.ReadMemStats(&m)
			d.log.Info().Str("event", "load").Int64("asked", l.Received-last.Received).Int64("refused", l.Refused-last.Refused).
				Int64("shed", l.Shed-last.Shed).Int64("opened", l.OpenedConnections-last.OpenedConnections).Int64("turned_away", l.RejectedConnections-last.RejectedConnections).
				Int64("turning_away_ms", (l.RejectionTime-last.RejectionTime).Milliseconds()).Int64("connections", l.OpenConnections).
				Int64("held", l.ActiveRequests).Int64("processor_ms", (cpu-used).Milliseconds()).
				Int64("lag_ms", d.node.Lag().Milliseconds()).Int64("read_lag_ms", d.node.ReadLag().Milliseconds()).Int64("platform_calls", called-calls).Uint64("heap_kb", m.HeapAlloc>>10).Uint64("stack_kb", m.StackInuse>>10).Uint64("runtime_kb", (m.Sys-m.HeapReleased)>>10).Uint32("collections", m.NumGC).Msg("load")
		}
		if l.Received != last.Received {
			d.node.MeasureReadLag()
		}
		last, used, calls = l, cpu, called
	}
}

// processorTime is what the process has used; 0 if the kernel doesn't tell.
func processorTime() time.Duration {
	var u unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
