package dispatch

import (
	"math"
	"time"
)

// span is the time over which a core's decaying sums have been collected. Until it is much longer
// than a window, such a sum holds only a part of what it would with the same load all along. The sums
// are divided by that part, so that sums over windows of different lengths can be compared from the
// first requests on.
type span struct {
	window time.Duration
	// start is when the first request was submitted.
	start time.Duration
}

// minCoverage bounds the extrapolation from the first few requests.
const minCoverage = 0.05

// coverage returns the part of a decaying sum over window that the span covers.
func (s span) coverage(now, window time.Duration) float64 {
	return max(1-math.Exp(-float64(now-s.start)/float64(window)), minCoverage)
}

// decay returns the factor by which a sum over window decays between two times.
func (s span) decay(from, to, window time.Duration) float64 {
	return math.Exp(-float64(to-from)/float64(window)) * s.coverage(from, window) / s.coverage(to, window)
}
