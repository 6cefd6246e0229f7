package router

import (
	"math/rand/v2"
	"time"
)

// incarnationRandomBits distinguishes two starts within the same second.
const incarnationRandomBits = 20

// NewIncarnation returns the incarnation of a process that starts at the given
// time. Its high bits are the time in seconds, so that a later start has a higher
// incarnation; its low bits are random.
func NewIncarnation(now time.Time) uint64 {
	return uint64(now.Unix())<<incarnationRandomBits | rand.Uint64N(1<<incarnationRandomBits)
}
