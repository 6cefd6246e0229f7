package warmup

import "time"

// Bucket is the token bucket from which one home grants requests to one upstream. It also counts
// requests to an upstream that isn't warming up: if the upstream has to warm up again, those of
// the last second have already been sent to it.
type Bucket struct {
	// Rate is in requests per second. A Bucket with Rate 0 grants nothing.
	Rate float64
	// used is the number of tokens that were taken and not yet refilled at updatedAt.
	used      float64
	updatedAt time.Duration
}

// Available reports whether a request can be granted.
func (b *Bucket) Available(now time.Duration) bool {
	return b.Rate > 0 && b.TimeUntilAvailable(now) == 0
}

// Take counts one request. While the upstream is warming up, check Available before calling
// Take. used is capped at burst plus one second of Rate, so that requests that were sent more
// than a second ago don't delay the next grant.
func (b *Bucket) Take(now time.Duration) {
	b.used = min(b.usedAt(now)+1, burst+b.Rate)
	b.updatedAt = now
}

// TimeUntilAvailable returns the time until a request can be granted. It is undefined for Rate 0.
func (b *Bucket) TimeUntilAvailable(now time.Duration) time.Duration {
	missing := b.usedAt(now) + 1 - burst
	if missing <= 0 {
		return 0
	}
	return time.Duration(missing / b.Rate * float64(time.Second))
}

func (b *Bucket) usedAt(now time.Duration) float64 {
	return max(b.used-b.Rate*(now-b.updatedAt).Seconds(), 0)
}
