// Package gcpace computes how far the heap may grow between two garbage collections
// (GOGC): little while the processor has spare capacity, more while it is overloaded.
// It has no side effects and reads no clock.
//
// A router under overload allocates about 30 KB per request and collects several times a
// second. Each collection marks the buffers of a thousand callers' connections, on a
// processor without spare capacity. A fixed higher percentage would hold that memory
// permanently.
package gcpace

import (
	"math"
	"time"
)

const (
	// MinPercent is the percentage by which the heap may grow while the processor has
	// spare capacity.
	MinPercent = 60
	// MaxPercent is the percentage while the processor is overloaded. With it there are
	// about a fifth as many collections as with MinPercent.
	MaxPercent = 400
	// The percentage rises while the use is between minUse and maxUse. Both are fractions
	// of the VM's processor share, computed from the user and system time of getrusage. On
	// a share of 0.19 cores, a router that keeps up used 0.05 to 0.15 of it and one that
	// refuses 2,000 requests a second 0.6 to 0.7; kernel work that isn't accounted to the
	// process comes in addition.
	minUse, maxUse = 0.15, 0.4
	// decayTime is the time constant with which the recorded use decays after an overload.
	// Overload comes in waves of a second or two.
	decayTime = 2 * time.Second
)

// Pacer tracks the recent processor use. The zero value has recorded no use.
type Pacer struct {
	use float64
}

// Observe records that the process used the given processor time over span, with a share
// of that many cores. A rise in use applies at once; a fall decays over decayTime.
func (p *Pacer) Observe(used, span time.Duration, share float64) {
	if span <= 0 || share <= 0 {
		return
	}
	use := used.Seconds() / (share * span.Seconds())
	decayed := p.use * math.Exp(-float64(span)/float64(decayTime))
	p.use = max(use, decayed)
}

// Percent returns the percentage by which the heap may grow until the next collection.
func (p *Pacer) Percent() int {
	load := (p.use - minUse) / (maxUse - minUse)
	return MinPercent + int((MaxPercent-MinPercent)*min(max(load, 0), 1))
}
