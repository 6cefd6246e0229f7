package limits

import (
	"math"
	"time"
)

// ShareKey names the requests that one home decides on by one share.
type ShareKey struct {
	Service string
	// Group is the part of the service's upstreams that the home decides for.
	Group int
	Team  string
}

// Allowances keep a router from asking homes for what they would refuse: for each team
// at each home a token bucket, which is filled at the rate that the home told. The zero
// value allows everything. It isn't safe for concurrent use.
type Allowances struct {
	buckets map[ShareKey]*bucket
}

// bucket is what may be asked for.
type bucket struct {
	// rate is in tokens a second; left is what is left at a moment. It falls below zero
	// with a request that is larger than what is left, and rises before the next.
	rate, left float64
	at         time.Duration
	// toldAt is when the home last told the rate, after when its last refusal told
	// callers to come back.
	toldAt, after time.Duration
	// renewedAt is when a request was last let through to hear the home's word anew.
	renewedAt time.Duration
}

const (
	// bucketSpan is the time for which a bucket holds its rate: shares are reckoned over
	// seconds, and a team that asks for little more than its share may do so in bursts.
	bucketSpan = time.Second
	// firstSpan is the time for which a new bucket holds its rate: the team has just
	// asked for more than its share.
	firstSpan = 200 * time.Millisecond
	// mostBuckets bounds the memory, at some 100 bytes each. Above it all are forgotten;
	// homes tell them again with the next answers.
	mostBuckets = 8192
	// wordHolds is how long a home's word is taken for its present one: as long as a home
	// takes to hear of what other homes gave.
	wordHolds = 500 * time.Millisecond
	// behindPart is the part of its allowance that a router asks for while it is behind
	// with its work: homes allow twice what a team gets, to see whether it may get more.
	behindPart = 0.5
)

// Take reports whether a request of so many tokens may be asked for. If not, it tells
// when its caller may come back, and how old the home's word is.
func (a *Allowances) Take(now time.Duration, key ShareKey, tokens float64, behind bool) (ok bool, after, age time.Duration) {
	b := a.buckets[key]
	if b == nil {
		return true, 0, 0
	}
	b.fill(now)
	if b.left <= 0 && b.renew(now) {
		return true, 0, 0
	}
	if b.left <= 0 {
		return false, b.after, now - b.toldAt
	}
	if behind {
		tokens /= behindPart
	}
	b.left -= tokens
	return true, 0, 0
}

// renew reports whether a home's word is so old that a request must be asked for to hear
// a new one: an allowance that lets nothing through would else hold for as long as it takes
// to fill the bucket, whatever the team's share is by then.
func (b *bucket) renew(now time.Duration) bool {
	if now-max(b.toldAt, b.renewedAt) < wordHolds {
		return false
	}
	b.renewedAt = now
	return true
}

func (b *bucket) fill(now time.Duration) {
	if now > b.at {
		b.left = min(b.left+b.rate*(now-b.at).Seconds(), b.rate*bucketSpan.Seconds())
		b.at = now
	}
}

// UpdateRate takes in what a home allows, in tokens a second: 0 if it told nothing, infinity
// if there is no bound. after, if above 0, is when it told the caller of a refused
// request to come back.
func (a *Allowances) UpdateRate(now time.Duration, key ShareKey, rate float64, after time.Duration) {
	if rate == 0 {
		return
	}
	if math.IsInf(rate, 1) {
		delete(a.buckets, key)
		return
	}
	b := a.buckets[key]
	if b == nil {
		if a.buckets == nil || len(a.buckets) >= mostBuckets {
			a.buckets = map[ShareKey]*bucket{}
		}
		b = &bucket{at: now, left: rate * firstSpan.Seconds()}
		a.buckets[key] = b
	}
	b.fill(now)
	b.rate, b.toldAt = rate, now
	b.left = min(b.left, rate*bucketSpan.Seconds())
	if after > 0 {
		b.after = after
	}
}

// Limited reports whether a home has told a bound.
func (a *Allowances) Limited(key ShareKey) bool { return a.buckets[key] != nil }
