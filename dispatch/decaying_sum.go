package dispatch

import (
	"math"
	"time"
)

// decayingSum is a sum that decays exponentially with time.
type decayingSum struct {
	sum       float64
	updatedAt time.Duration
}

// value returns the sum at now, with a decay over window.
func (d *decayingSum) value(now, window time.Duration) float64 {
	if now > d.updatedAt {
		d.sum *= math.Exp(-float64(now-d.updatedAt) / float64(window))
		d.updatedAt = now
	}
	return d.sum
}

func (d *decayingSum) add(now, window time.Duration, x float64) { d.sum = d.value(now, window) + x }
