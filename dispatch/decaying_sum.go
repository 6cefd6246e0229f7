package dispatch

import (
	"math"
	"time"
)

// decaying is a sum that loses its weight with time.
type decaying struct {
	n  float64
	at time.Duration
}

// value is the sum at a moment, with a decay over a window.
func (d *decaying) value(now, window time.Duration) float64 {
	if now > d.at {
		d.n *= math.Exp(-float64(now-d.at) / float64(window))
		d.at = now
	}
	return d.n
}

func (d *decaying) add(now, window time.Duration, x float64) { d.n = d.value(now, window) + x }
