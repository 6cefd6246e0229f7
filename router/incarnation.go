package router

import (
	"math/rand/v2"
	"time"
)

// incarnationRandomBits keep two starts within one second apart.
const incarnationRandomBits = 20

// NewIncarnation returns a number for a process that starts now: the time, so
// that a later start has a higher one, and random bits.
func NewIncarnation(now time.Time) uint64 {
	return uint64(now.Unix())<<incarnationRandomBits | rand.Uint64N(1<<incarnationRandomBits)
}
