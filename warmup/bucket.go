package warmup

import "time"

// Bucket is the token bucket from which one home grants requests to one upstream. It counts the
// requests of a warm upstream too: one that turns cold has those of the last second behind it.
type Bucket struct {
	// Rate is in requests per second. A Bucket with Rate 0 grants nothing.
	Rate float64
	// spent is the number of requests that have not been refilled at the time updated.
	spent   float64
	updated time.Duration
}

// Available reports whether a request can be granted.
func (b *Bucket) Available(now time.Duration) bool {
	return b.Rate > 0 && b.TimeUntilAvailable(now) == 0
}

// Take counts one request. While the upstream warms up, the caller has checked Available.
// Requests that were sent more than a second ago don't delay the next grant.
func (b *Bucket) Take(now time.Duration) {
	b.spent = min(b.spentAt(now)+1, burst+b.Rate)
	b.updated = now
}

// TimeUntilAvailable returns the time until a request can be granted. It is not defined for Rate 0.
func (b *Bucket) TimeUntilAvailable(now time.Duration) time.Duration {
	missing := b.spentAt(now) + 1 - burst
	if missing <= 0 {
		return 0
	}
	return time.Duration(missing / b.Rate * float64(time.Second))
}

func (b *Bucket) spentAt(now time.Duration) float64 {
	return max(b.spent-b.Rate*(now-b.updated).Seconds(), 0)
}
