// Package gcpace decides how far the heap may grow between two garbage collections:
// little while the processor has time to spare, more while it is short. It is pure.
//
// A flooded router allocates some 30 KB a request and collects several times a second;
// each collection marks the buffers of a thousand callers' connections, with a processor
// that has none to spare. A fixed higher percentage would hold that memory all day.
package gcpace

import (
	"math"
	"time"
)

const (
	// MinPercent is the percentage by which the heap may grow while the processor has time.
	MinPercent = 60
	// MaxPercent is that while it is short: a fifth of the collections.
	MaxPercent = 400
	// calmUse and busyUse are parts of the processor's share, as the process itself
	// sees what it used. A router that keeps up used 0.05 to 0.15 of 0.19 cores; one
	// with 2,000 refusals a second used 0.6 to 0.7, beside what the kernel took.
	calmUse, busyUse = 0.15, 0.4
	// hold is the time in which the pace comes back by most of the way after a flood:
	// floods come in waves of a second or two.
	hold = 2 * time.Second
)

// Pacer follows the use of a processor. The zero value has seen none.
type Pacer struct {
	use float64
}

// Observe takes in that the process used a part of its processor's share over a span.
// What it uses more counts at once.
func (p *Pacer) Observe(used, span time.Duration, share float64) {
	if span <= 0 || share <= 0 {
		return
	}
	use := used.Seconds() / (share * span.Seconds())
	faded := p.use * math.Exp(-float64(span)/float64(hold))
	p.use = max(use, faded)
}

// Percent is by how much the heap may grow until the next collection.
func (p *Pacer) Percent() int {
	short := (p.use - calmUse) / (busyUse - calmUse)
	return MinPercent + int((MaxPercent-MinPercent)*min(max(short, 0), 1))
}
