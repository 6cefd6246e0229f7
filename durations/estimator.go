package durations

import (
	"math"
	"time"
)

const (
	// shortest is the upper bound of the first bucket, and growth the ratio of two bounds: an estimate is
	// at most a quarter too long.
	shortest = time.Millisecond
	growth   = 1.25
	// buckets reach up to five minutes. Longer durations count as that.
	buckets = 58
	// window is the number of durations after which the earlier ones count half.
	window = 512
)

// Estimator records the durations of recent requests. Its zero value is empty.
type Estimator struct {
	counts [buckets]float32
	total  float32
}

// Record records a duration.
func (e *Estimator) Record(d time.Duration) {
	if e.total >= window {
		e.total = 0
		for i := range e.counts {
			e.counts[i] /= 2
			e.total += e.counts[i]
		}
	}
	e.counts[bucketOf(d)]++
	e.total++
}

// Quantile returns the duration within which a share of the recent requests, 0 to 1, have ended. It returns
// false if none is known.
func (e *Estimator) Quantile(share float64) (time.Duration, bool) {
	if e.total == 0 {
		return 0, false
	}
	var ended float32
	for i, n := range e.counts {
		if ended += n; float64(ended) >= share*float64(e.total) {
			return upperBound(i), true
		}
	}
	return upperBound(buckets - 1), true
}

func bucketOf(d time.Duration) int {
	if d <= shortest {
		return 0
	}
	i := int(math.Ceil(math.Log(float64(d)/float64(shortest)) / math.Log(growth)))
	return min(i, buckets-1)
}

func upperBound(bucket int) time.Duration {
	return time.Duration(float64(shortest) * math.Pow(growth, float64(bucket)))
}
