package retry

import "time"

// Budget is a retry budget: it limits how many retries a router sends to each service. Without
// it, an outage in which every request fails would multiply the load while the upstreams can
// handle the least.
//
// The limit holds for the whole fleet without communication between routers. Each router's
// retries are limited to its share of the allowance plus a ratio of its own first attempts;
// summed over all routers, these don't exceed the fleet's limit.
type Budget struct {
	// Ratio is the ratio of retries to first attempts that the fleet may reach.
	Ratio float64
	// Allowance is the number of retries per window that the fleet may send in addition.
	Allowance float64
	// Window is the period over which attempts and retries are counted.
	Window time.Duration

	services map[string]*attemptCounts
}

// attemptCounts counts the attempts for one service in a ring of time buckets. bucket is the
// number of the current one, counted from time 0.
type attemptCounts struct {
	firstAttempts, retries [ringBuckets]int
	bucket                 int64
}

const (
	// ringBuckets exceeds bucketsPerWindow: an attempt is counted for 1.1 to 1.2 windows, which
	// is longer than necessary but never less than a window.
	ringBuckets      = 12
	bucketsPerWindow = 10
	// safetyFactor is the fraction of the limit that is used. The rest covers windows that
	// start in the middle of a bucket, and routers that have just joined.
	safetyFactor = 0.7
)

// RecordFirstAttempt counts the first attempt of a request to a service.
func (b *Budget) RecordFirstAttempt(now time.Duration, service string) {
	s := b.service(now, service)
	s.firstAttempts[s.bucket%ringBuckets]++
}

// TryAcquire reports whether a request to a service may be retried, and counts the retry if so.
// routers is the number of routers in the fleet.
func (b *Budget) TryAcquire(now time.Duration, service string, routers int) bool {
	s := b.service(now, service)
	firstAttempts, retries := 0, 0
	for i := range ringBuckets {
		retries += s.retries[i]
		firstAttempts += s.firstAttempts[i]
	}
	allowed := safetyFactor * (b.Ratio*float64(firstAttempts)*bucketsPerWindow/ringBuckets + b.Allowance/float64(max(routers, 1)))
	if float64(retries+1) > allowed {
		return false
	}
	s.retries[s.bucket%ringBuckets]++
	return true
}

// service returns the counts of a service after advancing them to the current bucket.
func (b *Budget) service(now time.Duration, name string) *attemptCounts {
	if b.services == nil {
		b.services = map[string]*attemptCounts{}
	}
	s := b.services[name]
	bucket := int64(now / (b.Window / bucketsPerWindow))
	if s == nil {
		s = &attemptCounts{bucket: bucket}
		b.services[name] = s
	}
	if bucket-s.bucket > ringBuckets {
		s.bucket = bucket - ringBuckets
	}
	for s.bucket < bucket {
		s.bucket++
		s.firstAttempts[s.bucket%ringBuckets] = 0
		s.retries[s.bucket%ringBuckets] = 0
	}
	return s
}
