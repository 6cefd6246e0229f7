package warmup

import "time"

// Bucket is the token bucket from which one home grants requests to one upstream.
type Bucket struct {
	// Rate is in requests per second. A Bucket with Rate 0 grants nothing.
	Rate float64
	// spent is the part of the burst that has not been refilled at the time updated.
	spent   float64
	updated time.Duration
}

// Available reports whether a request can be granted.
func (b *Bucket) Available(now time.Duration) bool { return b.Rate > 0 && b.NextIn(now) == 0 }

// Take grants one request. The caller has checked Available.
func (b *Bucket) Take(now time.Duration) {
	b.spent = b.spentAt(now) + 1
	b.updated = now
}

// NextIn returns the time until a request can be granted. It is not defined for Rate 0.
func (b *Bucket) NextIn(now time.Duration) time.Duration {
	missing := b.spentAt(now) + 1 - burst
	if missing <= 0 {
		return 0
	}
	return time.Duration(missing / b.Rate * float64(time.Second))
}

func (b *Bucket) spentAt(now time.Duration) float64 {
	return max(b.spent-b.Rate*(now-b.updated).Seconds(), 0)
}
