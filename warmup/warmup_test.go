package warmup_test

import (
	"cmp"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/aspenswitch/aspenswitch/warmup"
)

// maxArrivalsPerSecond returns the largest number of granted requests that can arrive within one
// second if each arrives up to GrantTTL after its grant.
func maxArrivalsPerSecond(grants []time.Duration) int {
	slices.SortFunc(grants, cmp.Compare[time.Duration])
	most, first := 0, 0
	for i := range grants {
		for grants[i]-grants[first] >= time.Second+warmup.GrantTTL {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// grantAll returns the grants of a home that grants as many requests as its bucket allows.
func grantAll(rate float64, from, to time.Duration) (grants []time.Duration) {
	bucket := warmup.Bucket{Rate: rate}
	for now := from; now < to; now += time.Millisecond {
		if bucket.Available(now) {
			bucket.Take(now)
			grants = append(grants, now)
		}
	}
	return grants
}

// Guards against two homes that together grant more than the bound in any second.
func TestTwoHomesStayWithinTheBound(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		limit := warmup.Limit{Duration: 5 * time.Second, PerSecond: rapid.Float64Range(0.1, 200).Draw(rt, "rate")}
		policy := warmup.Policy{Overage: rapid.Float64Range(0.2, 3).Draw(rt, "overage"), Slack: rapid.Float64Range(0, 20).Draw(rt, "slack")}
		var grants []time.Duration
		for range 2 {
			bucket := warmup.Bucket{Rate: policy.Rate(limit)}
			now := time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(rt, "start"))
			for range rapid.IntRange(1, 300).Draw(rt, "asks") {
				if bucket.Available(now) {
					bucket.Take(now)
					grants = append(grants, now)
				}
				now += time.Duration(rapid.Int64Range(0, int64(200*time.Millisecond)).Draw(rt, "pause"))
			}
		}
		if most := maxArrivalsPerSecond(grants); most > policy.Bound(limit) {
			rt.Fatalf("%d arrivals in a second, bound %d", most, policy.Bound(limit))
		}
	})
}

// Guards against two homes that each grant the whole bound.
func TestTwoHomesThatGrantAllStayWithinTheBound(t *testing.T) {
	g := NewWithT(t)
	for _, perHome := range []int{2, 7, 50} {
		limit := warmup.Limit{Duration: 5 * time.Second, PerSecond: float64(2 * perHome)}
		rate := warmup.DefaultPolicy().Rate(limit)
		grants := append(grantAll(rate, 0, limit.Duration), grantAll(rate, 0, limit.Duration)...)
		g.Expect(maxArrivalsPerSecond(grants)).To(BeNumerically("<=", warmup.DefaultPolicy().Bound(limit)))
	}
}

// Guards against exceeding the bound when a home changes, because the new home has no record of
// the requests that its predecessor granted.
func TestSuccessorsStayWithinTheBound(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		// perHome, each home's part of the bound, is a whole number, so that the bound is tight.
		perHome := rapid.IntRange(2, 100).Draw(rt, "part")
		limit := warmup.Limit{Duration: 5 * time.Second, PerSecond: float64(2 * perHome)}
		policy := warmup.Policy{Overage: 1}
		rate := policy.Rate(limit)
		end := 6 * time.Second
		// One router acts as the home all the time, concurrently with homes that succeed each other.
		grants := grantAll(rate, 0, end)
		for homeSince := time.Duration(0); homeSince < end; {
			homeUntil := homeSince + time.Duration(rapid.Int64Range(int64(time.Millisecond), int64(2*time.Second)).Draw(rt, "home"))
			grants = append(grants, grantAll(rate, homeSince+warmup.TakeoverDelay, homeUntil)...)
			homeSince = homeUntil
		}
		if most := maxArrivalsPerSecond(grants); most > policy.Bound(limit) {
			rt.Fatalf("%d arrivals in a second, bound %d", most, policy.Bound(limit))
		}
	})
}

// Guards against a division by zero, and against granting a burst that exceeds a small bound.
func TestBoundWithoutRoomGrantsNothing(t *testing.T) {
	g := NewWithT(t)
	for _, limit := range []warmup.Limit{{}, {PerSecond: 5}, {Duration: time.Second}, {Duration: -1, PerSecond: -1}} {
		g.Expect(limit.Limited()).To(BeFalse())
	}
	limit := warmup.Limit{Duration: time.Second, PerSecond: 1}
	bucket := warmup.Bucket{Rate: warmup.DefaultPolicy().Rate(limit)}
	g.Expect(bucket.Available(time.Hour)).To(BeFalse())
}
