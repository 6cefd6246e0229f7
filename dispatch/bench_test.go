package dispatch_test

import (
	"testing"
	"time"

	"github.com/aspenswitch/aspenswitch/dispatch"
)

// benchmarkSubmit measures the submission, start and completion of a request.
func benchmarkSubmit(engines int) testing.BenchmarkResult {
	return testing.Benchmark(func(b *testing.B) {
		c := newCore(engines)
		now := 2 * time.Second
		for i := range b.N {
			seq := uint64(i)
			now += time.Second / 300
			for _, d := range c.Submit(now, request(seq, "team", seq%100)) {
				if d.Verdict == dispatch.Send {
					c.Started(now+time.Millisecond, ticket(seq))
					c.Done(now+time.Millisecond, ticket(seq), dispatch.Served, time.Second)
				}
			}
		}
	})
}

// Guards against decisions whose cost grows faster than the number of engines: a home
// decides on all requests of its group with part of a CPU core.
func TestCostOfADecisionGrowsWithTheEnginesAtMost(t *testing.T) {
	if testing.Short() {
		t.Skip("takes several seconds")
	}
	few, many := benchmarkSubmit(16), benchmarkSubmit(32)
	ratio := float64(many.NsPerOp()) / float64(few.NsPerOp())
	t.Logf("%d and %d ns, ratio %.2f", few.NsPerOp(), many.NsPerOp(), ratio)
	if ratio > 3.5 {
		t.Fatalf("%d ns at 16 engines, %d at 32", few.NsPerOp(), many.NsPerOp())
	}
}
