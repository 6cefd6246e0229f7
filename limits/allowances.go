package limits

import (
	"math"
	"time"
)

// ShareKey identifies the requests that count against one team's share at one home, the router
// that admits requests to a group of upstreams.
type ShareKey struct {
	Service string
	// Group is the group of the service's upstreams that the home is responsible for.
	Group int
	Team  string
}

// Allowances limits a router's admission requests to the rates that the homes allow, so that it
// doesn't send requests that they would refuse. An allowance is the rate, in tokens per second, at
// which a home lets this router request admission for a team. It exceeds the team's share of the
// upstreams (see overloadedFraction). Allowances has a token bucket for each team at each home,
// refilled at the rate that the home last returned. The zero value imposes no limits. It isn't
// safe for concurrent use.
type Allowances struct {
	buckets map[ShareKey]*bucket
}

// bucket is the token bucket of one ShareKey.
type bucket struct {
	// rate is in tokens per second. available is the number of tokens at updatedAt. A request
	// may take more than are available; the debt is then refilled before the next one.
	rate, available float64
	updatedAt       time.Duration
	// rateSetAt is when the home last returned a rate. retryAfter is the Retry-After delay of
	// its last refusal.
	rateSetAt, retryAfter time.Duration
	// refreshedAt is when a request was last allowed only to obtain a new rate from the home.
	refreshedAt time.Duration
}

const (
	// burstDuration times the rate is the capacity of a bucket. Shares are computed over
	// seconds, and a team that requests little more than its share may do so in bursts.
	burstDuration = time.Second
	// initialBurstDuration times the rate is the initial content of a bucket. It is smaller
	// because the team has just requested more than its share.
	initialBurstDuration = 200 * time.Millisecond
	// maxBuckets limits memory use, at about 100 bytes per bucket. All buckets are dropped when
	// a new one would exceed it; the next responses of the homes restore them.
	maxBuckets = 8192
	// rateTTL is how long a rate counts as current: the time until a home receives what other
	// homes have served.
	rateTTL = 500 * time.Millisecond
	// overloadedFraction is the fraction of its allowance that an overloaded router uses. Homes
	// allow twice the rate that a team is served at, to detect whether it may be served more.
	overloadedFraction = 0.5
)

// Take reports whether a request with the given number of tokens may be sent to its home for
// admission. If not, it returns the delay after which the caller may retry, and the age of the
// home's rate.
func (a *Allowances) Take(now time.Duration, key ShareKey, tokens float64, overloaded bool) (ok bool, retryAfter, age time.Duration) {
	b := a.buckets[key]
	if b == nil {
		return true, 0, 0
	}
	b.refill(now)
	if b.available <= 0 && b.tryRefresh(now) {
		return true, 0, 0
	}
	if b.available <= 0 {
		return false, b.retryAfter, now - b.rateSetAt
	}
	if overloaded {
		tokens /= overloadedFraction
	}
	b.available -= tokens
	return true, 0, 0
}

// tryRefresh reports whether the rate has expired, so that a request is allowed to obtain a new
// one, and records that request. Otherwise a very low rate would apply until the bucket is
// refilled, whatever the team's share is by then.
func (b *bucket) tryRefresh(now time.Duration) bool {
	if now-max(b.rateSetAt, b.refreshedAt) < rateTTL {
		return false
	}
	b.refreshedAt = now
	return true
}

func (b *bucket) refill(now time.Duration) {
	if now > b.updatedAt {
		b.available = min(b.available+b.rate*(now-b.updatedAt).Seconds(), b.rate*burstDuration.Seconds())
		b.updatedAt = now
	}
}

// UpdateRate records the rate that a home allows, in tokens per second: 0 if it returned none,
// infinity if there is no limit. retryAfter is the Retry-After delay of a refused request, or 0.
func (a *Allowances) UpdateRate(now time.Duration, key ShareKey, rate float64, retryAfter time.Duration) {
	if rate == 0 {
		return
	}
	if math.IsInf(rate, 1) {
		delete(a.buckets, key)
		return
	}
	b := a.buckets[key]
	if b == nil {
		if a.buckets == nil || len(a.buckets) >= maxBuckets {
			a.buckets = map[ShareKey]*bucket{}
		}
		b = &bucket{updatedAt: now, available: rate * initialBurstDuration.Seconds()}
		a.buckets[key] = b
	}
	b.refill(now)
	b.rate, b.rateSetAt = rate, now
	b.available = min(b.available, rate*burstDuration.Seconds())
	if retryAfter > 0 {
		b.retryAfter = retryAfter
	}
}

// Limited reports whether a home has returned a finite rate for the key.
func (a *Allowances) Limited(key ShareKey) bool { return a.buckets[key] != nil }
