package daemon

import (
	"context"
	"runtime"
	"time"

	"golang.org/x/sys/unix"

	"github.com/aspenswitch/aspenswitch/entry"
	"github.com/aspenswitch/aspenswitch/gateway"
)

// loadLogInterval is the time between two log lines about the load. It is short enough to show
// a flood of a few seconds, and limits the log to one line every two seconds.
const loadLogInterval = 2 * time.Second

// logLoad logs the requests received and the resources used since the last line, unless there
// were neither requests nor platform calls.
func (d *FleetDaemon) logLoad(ctx context.Context) {
	ticker := time.NewTicker(loadLogInterval)
	defer ticker.Stop()
	var last gateway.Load
	var lastCPU time.Duration
	var lastCalls int64
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		l, cpu, calls := d.gateway.Load(), processCPUTime(), d.feed.Calls()
		if l.Received != last.Received || calls != lastCalls {
			var m runtime.MemStats
			runtime.ReadMemStats(&m)
			d.log.Info().Str("event", "load").Int64("asked", l.Received-last.Received).Int64("refused", l.Refused-last.Refused).
				Int64("shed", l.Shed-last.Shed).Int64("opened", l.OpenedConnections-last.OpenedConnections).Int64("turned_away", l.RejectedConnections-last.RejectedConnections).
				Int64("turning_away_ms", (l.RejectionTime-last.RejectionTime).Milliseconds()).Int64("connections", l.OpenConnections).
				Int64("held", l.ActiveRequests).Int64("processor_ms", (cpu-lastCPU).Milliseconds()).
				Int64("lag_ms", d.node.Lag().Milliseconds()).Int64("read_lag_ms", d.node.ReadLag().Milliseconds()).Int64("platform_calls", calls-lastCalls).Uint64("heap_kb", m.HeapAlloc>>10).Uint64("stack_kb", m.StackInuse>>10).Uint64("runtime_kb", (m.Sys-m.HeapReleased)>>10).Uint32("collections", m.NumGC).Msg("load")
		}
		if l.Received != last.Received {
			d.node.MeasureReadLag()
		}
		last, lastCPU, lastCalls = l, cpu, calls
	}
}

// entryLoad returns the load of this router as an entry point for callers, and whether it serves
// them.
func (d *FleetDaemon) entryLoad() (entry.Load, bool) {
	l := d.gateway.Load()
	return entry.Load{
		Opened: l.OpenedConnections, Rejected: l.RejectedConnections, Received: l.Received, Busy: l.Busy, ProcessorTime: processCPUTime(),
	}, d.canServe()
}

// processCPUTime returns the CPU time that the process has used, or 0 if it can't be read.
func processCPUTime() time.Duration {
	var u unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
