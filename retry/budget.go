package retry

import "time"

// Budget bounds the arrivals at a service beyond the first of each request. It
// answers an outage in which every request fails: without it, retries multiply
// the load just when upstreams are weakest.
//
// The bound holds for the whole fleet without messages: a router's retries are
// at most its share of the allowance and a ratio of its own first sends, and
// both add up over routers to the fleet's bound.
type Budget struct {
	// Ratio of retries to first sends that the fleet may reach.
	Ratio float64
	// Allowance is the number of retries in a window that the fleet may make
	// beyond the ratio.
	Allowance float64
	// Window is the span over which both are counted.
	Window time.Duration

	services map[string]*spent
}

// spent counts a service's sends in buckets, as a ring.
type spent struct {
	firsts, retries [budgetBuckets]int
	at              int64
}

const (
	// budgetBuckets divide a window: a send is forgotten a tenth of a window
	// late at most, so a retry counts for longer than it must.
	budgetBuckets = 12
	bucketsWindow = 10
	// budgetUse is the part of the bound that is used: what is left covers
	// windows that begin between two buckets and routers that have just come.
	budgetUse = 0.7
)

// RecordFirstAttempt counts the first send of a request.
func (b *Budget) RecordFirstAttempt(now time.Duration, service string) {
	s := b.service(now, service)
	s.firsts[s.at%budgetBuckets]++
}

// TryAcquire reports whether a request may be sent once more, and counts it if so.
// routers is the number of routers in the fleet.
func (b *Budget) TryAcquire(now time.Duration, service string, routers int) bool {
	s := b.service(now, service)
	firsts, retries := 0, 0
	for i := range budgetBuckets {
		retries += s.retries[i]
		firsts += s.firsts[i]
	}
	allowed := budgetUse * (b.Ratio*float64(firsts)*bucketsWindow/budgetBuckets + b.Allowance/float64(max(routers, 1)))
	if float64(retries+1) > allowed {
		return false
	}
	s.retries[s.at%budgetBuckets]++
	return true
}

// service returns a service's counters, moved on to the present.
func (b *Budget) service(now time.Duration, name string) *spent {
	if b.services == nil {
		b.services = map[string]*spent{}
	}
	s := b.services[name]
	at := int64(now / (b.Window / bucketsWindow))
	if s == nil {
		s = &spent{at: at}
		b.services[name] = s
	}
	if at-s.at > budgetBuckets {
		s.at = at - budgetBuckets
	}
	for s.at < at {
		s.at++
		s.firsts[s.at%budgetBuckets] = 0
		s.retries[s.at%budgetBuckets] = 0
	}
	return s
}
