package daemon

import (
	"context"
	"runtime/debug"
	"time"

	"github.com/aspenswitch/aspenswitch/gcpace"
)

// paceEvery is how often the collector's pace is chosen: a flood fills the heap's room
// within a few of these, and four wake-ups a second cost next to nothing.
const paceEvery = 250 * time.Millisecond

// paceCollector lets the heap grow further while the processor is short. The memory
// limit bounds it: near the limit the collector works as hard as it must.
func (d *FleetDaemon) paceCollector(ctx context.Context) {
	ticker := time.NewTicker(paceEvery)
	defer ticker.Stop()
	var pace gcpace.Pacer
	percent := gcpace.MinPercent
	debug.SetGCPercent(percent)
	last, used := time.Now(), processorTime()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now, cpu := time.Now(), processorTime()
		pace.Observe(cpu-used, now.Sub(last), d.settings.Processor)
		last, used = now, cpu
		if next := pace.Percent(); next != percent {
			percent = next
			debug.SetGCPercent(percent)
		}
	}
}
