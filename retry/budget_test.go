package retry_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/aspenswitch/aspenswitch/retry"
)

// Every request fails and every router retries as often as it may. In no window
// may all routers together send more retries than the ratio of the requests and
// the allowance: the upstreams would get the more work the worse they are.
func TestRetriesOfAllRoutersStayWithinTheBudget(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const window = 10 * time.Second
		routers := rapid.IntRange(1, 9).Draw(rt, "routers")
		budgets := make([]retry.Budget, routers)
		for i := range budgets {
			budgets[i] = retry.Budget{Ratio: 0.2, Allowance: 50, Window: window}
		}
		var firsts, retries []time.Duration
		at := time.Duration(0)
		for range 3000 {
			at += time.Duration(rapid.IntRange(0, 40).Draw(rt, "gap")) * time.Millisecond
			b := &budgets[rapid.IntRange(0, routers-1).Draw(rt, "router")]
			b.RecordFirstAttempt(at, "llm")
			firsts = append(firsts, at)
			for b.TryAcquire(at, "llm", routers) {
				retries = append(retries, at)
			}
		}
		for i, end := range retries {
			n := 0
			for _, r := range retries[:i+1] {
				if r > end-window {
					n++
				}
			}
			asked := 0
			for _, f := range firsts {
				if f > end-window && f <= end {
					asked++
				}
			}
			if float64(n) > 0.2*float64(asked)+50 {
				rt.Fatalf("%d retries for %d requests within a window", n, asked)
			}
		}
	})
}

// Without any request of its own a router keeps a part of the allowance, so a
// quiet service's single failure is retried.
func TestQuietServiceMayRetry(t *testing.T) {
	g := NewWithT(t)
	b := retry.Budget{Ratio: 0.2, Allowance: 50, Window: 10 * time.Second}
	b.RecordFirstAttempt(time.Hour, "app")
	g.Expect(b.TryAcquire(time.Hour, "app", 7)).To(BeTrue())
}
