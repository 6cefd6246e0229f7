package durations_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/aspenswitch/aspenswitch/durations"
)

// Guards against an estimate that is shorter than the requests it is made from, or much longer.
func TestQuantile(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var e durations.Estimator
		n := rapid.IntRange(1, 400).Draw(rt, "requests")
		longest := time.Duration(0)
		for range n {
			d := time.Duration(rapid.IntRange(1, 250_000).Draw(rt, "ms")) * time.Millisecond
			longest = max(longest, d)
			e.Record(d)
		}
		got, known := e.Quantile(1)
		if !known || got < longest || got > longest*13/10 {
			rt.Fatalf("the longest of %d is %v, estimated as %v", n, longest, got)
		}
	})
}

// Guards against an estimate that never follows requests which have become shorter or longer.
func TestEstimateFollowsRecentRequests(t *testing.T) {
	g := NewWithT(t)
	var e durations.Estimator
	_, known := e.Quantile(0.95)
	g.Expect(known).To(BeFalse())
	record := func(n int, d time.Duration) {
		for range n {
			e.Record(d)
		}
	}
	estimate := func() time.Duration {
		d, _ := e.Quantile(0.95)
		return d
	}
	record(1000, 4*time.Second)
	g.Expect(estimate()).To(BeNumerically("~", 4500*time.Millisecond, 600*time.Millisecond))
	record(4000, 100*time.Millisecond)
	g.Expect(estimate()).To(BeNumerically("<", 130*time.Millisecond))
	record(60, 10*time.Second)
	g.Expect(estimate()).To(BeNumerically(">=", 10*time.Second), "more than one in twenty of the recent ones")
	record(1, time.Hour)
	g.Expect(estimate()).To(BeNumerically("<", 20*time.Second))
}
