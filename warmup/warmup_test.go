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

// mostInASecond returns the largest number of moments within any window of one second.
func mostInASecond(moments []time.Duration) int {
	slices.SortFunc(moments, cmp.Compare[time.Duration])
	most, first := 0, 0
	for i := range moments {
		for moments[i]-moments[first] >= time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// Guards against two homes that together grant more than the bound in any second.
func TestTwoHomesStayWithinTheBound(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		limit := warmup.Limit{Duration: 5 * time.Second, PerSecond: rapid.Float64Range(0.1, 200).Draw(rt, "rate")}
		policy := warmup.Policy{Overage: rapid.Float64Range(0.2, 3).Draw(rt, "overage"), Slack: rapid.Float64Range(0, 20).Draw(rt, "slack")}
		var arrivals []time.Duration
		for range 2 {
			bucket := warmup.Bucket{Rate: policy.Rate(limit)}
			now := rapid.Int64Range(0, int64(time.Second)).Draw(rt, "start")
			for range rapid.IntRange(1, 300).Draw(rt, "asks") {
				at := time.Duration(now)
				if bucket.Available(at) {
					bucket.Take(at)
					arrivals = append(arrivals, at+time.Duration(rapid.Int64Range(0, int64(warmup.GrantTTL)).Draw(rt, "late")))
				}
				now += rapid.Int64Range(0, int64(200*time.Millisecond)).Draw(rt, "pause")
			}
		}
		if most := mostInASecond(arrivals); most > policy.Bound(limit) {
			rt.Fatalf("%d arrivals in a second, bound %d", most, policy.Bound(limit))
		}
	})
}

// Guards against a successor that knows nothing of what its predecessor granted.
func TestSuccessorStaysWithinTheBound(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		limit := warmup.Limit{Duration: 5 * time.Second, PerSecond: rapid.Float64Range(1, 200).Draw(rt, "rate")}
		policy := warmup.Policy{Overage: 1, Slack: rapid.Float64Range(0, 20).Draw(rt, "slack")}
		change := time.Duration(rapid.Int64Range(0, int64(2*time.Second)).Draw(rt, "change"))
		var arrivals []time.Duration
		grant := func(from, to time.Duration) {
			bucket := warmup.Bucket{Rate: policy.Rate(limit)}
			for at := from; at < to; at += time.Millisecond {
				if bucket.Available(at) {
					bucket.Take(at)
					arrivals = append(arrivals, at+time.Duration(rapid.Int64Range(0, int64(warmup.GrantTTL)).Draw(rt, "late")))
				}
			}
		}
		grant(0, change)
		grant(change+warmup.TakeoverDelay, change+warmup.TakeoverDelay+2*time.Second)
		// A third router takes itself for the home all the time.
		grant(0, change+warmup.TakeoverDelay+2*time.Second)
		if most := mostInASecond(arrivals); most > policy.Bound(limit) {
			rt.Fatalf("%d arrivals in a second, bound %d", most, policy.Bound(limit))
		}
	})
}

// Guards against a division by zero and a burst beyond a bound that leaves no room.
func TestBoundWithoutRoomGrantsNothing(t *testing.T) {
	g := NewWithT(t)
	for _, limit := range []warmup.Limit{{}, {PerSecond: 5}, {Duration: time.Second}, {Duration: -1, PerSecond: -1}} {
		g.Expect(limit.Limited()).To(BeFalse())
	}
	limit := warmup.Limit{Duration: time.Second, PerSecond: 1}
	bucket := warmup.Bucket{Rate: warmup.DefaultPolicy().Rate(limit)}
	g.Expect(bucket.Available(time.Hour)).To(BeFalse())
}
