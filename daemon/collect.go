package daemon

import (
	"context"
	"runtime/debug"
	"time"

	"github.com/aspenswitch/aspenswitch/gcpace"
)

// gcUpdateInterval is the time between two updates of the GC percentage. A flood fills the free
// heap within a few intervals, and four updates per second cost next to nothing.
const gcUpdateInterval = 250 * time.Millisecond

// adjustGCPercent raises the GC percentage while CPU is scarce, and lowers it afterwards. The
// memory limit still applies: near it the garbage collector runs as often as necessary.
func (d *FleetDaemon) adjustGCPercent(ctx context.Context) {
	ticker := time.NewTicker(gcUpdateInterval)
	defer ticker.Stop()
	var pacer gcpace.Pacer
	percent := gcpace.MinPercent
	debug.SetGCPercent(percent)
	lastUpdate, lastCPU := time.Now(), processCPUTime()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now, cpu := time.Now(), processCPUTime()
		pacer.Observe(cpu-lastCPU, now.Sub(lastUpdate), d.settings.Processor)
		lastUpdate, lastCPU = now, cpu
		if next := pacer.Percent(); next != percent {
			percent = next
			debug.SetGCPercent(percent)
		}
	}
}
