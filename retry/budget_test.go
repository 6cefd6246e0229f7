package retry_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/aspenswitch/aspenswitch/retry"
)

// Guards against retries that multiply the load while upstreams fail. Every request fails and every
// router retries as often as its budget permits; in no window may the retries of all routers exceed
// the ratio of the requests plus the allowance.
func TestRetriesOfAllRoutersStayWithinTheBudget(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const window = 10 * time.Second
		routers := rapid.IntRange(1, 9).Draw(rt, "routers")
		budgets := make([]retry.Budget, routers)
		for i := range budgets {
			budgets[i] = retry.Budget{Ratio: 0.2, Allowance: 50, Window: window}
		}
		var firstAttempts, retries []time.Duration
		now := time.Duration(0)
		for range 3000 {
			now += time.Duration(rapid.IntRange(0, 40).Draw(rt, "gap")) * time.Millisecond
			b := &budgets[rapid.IntRange(0, routers-1).Draw(rt, "router")]
			b.RecordFirstAttempt(now, "llm")
			firstAttempts = append(firstAttempts, now)
			for b.TryAcquire(now, "llm", routers) {
				retries = append(retries, now)
			}
		}
		for i, end := range retries {
			n := 0
			for _, r := range retries[:i+1] {
				if r > end-window {
					n++
				}
			}
			requests := 0
			for _, f := range firstAttempts {
				if f > end-window && f <= end {
					requests++
				}
			}
			if float64(n) > 0.2*float64(requests)+50 {
				rt.Fatalf("%d retries for %d requests within a window", n, requests)
			}
		}
	})
}

// Guards against refusing the retry of a single failure at a service with few requests. Every
// router has a share of the allowance, even without requests of its own.
func TestQuietServiceMayRetry(t *testing.T) {
	g := NewWithT(t)
	b := retry.Budget{Ratio: 0.2, Allowance: 50, Window: 10 * time.Second}
	b.RecordFirstAttempt(time.Hour, "app")
	g.Expect(b.TryAcquire(time.Hour, "app", 7)).To(BeTrue())
}
