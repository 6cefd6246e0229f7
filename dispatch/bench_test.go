package dispatch_test

import (
	"testing"
	"time"

	"github.com/aspenswitch/aspenswitch/dispatch"
)

var benchDomains = []string{"a", "b", "c"}

// benchmarkSubmit measures the submission, start and completion of a request. Requests come from
// three failure domains if there are three of engines.
func benchmarkSubmit(newCore func() *dispatch.Core) testing.BenchmarkResult {
	return testing.Benchmark(func(b *testing.B) {
		b.ReportAllocs()
		c := newCore()
		now := 2 * time.Second
		for i := range b.N {
			seq := uint64(i)
			now += time.Second / 300
			r := request(seq, "team", seq%100)
			r.Domain = benchDomains[seq%3]
			for _, d := range c.Submit(now, r) {
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
	few, many := benchmarkSubmit(func() *dispatch.Core { return newCore(16) }), benchmarkSubmit(func() *dispatch.Core { return newCore(32) })
	ratio := float64(many.NsPerOp()) / float64(few.NsPerOp())
	t.Logf("%d and %d ns, ratio %.2f", few.NsPerOp(), many.NsPerOp(), ratio)
	if ratio > 3.5 {
		t.Fatalf("%d ns at 16 engines, %d at 32", few.NsPerOp(), many.NsPerOp())
	}
}

// Guards against decisions that allocate for each request because of locality.
func TestLocalityAllocatesNothingForARequest(t *testing.T) {
	if testing.Short() {
		t.Skip("takes several seconds")
	}
	without := benchmarkSubmit(func() *dispatch.Core { return newCore(32) })
	with := benchmarkSubmit(func() *dispatch.Core { return newLocalCore(32, benchDomains...) })
	t.Logf("%d ns and %d allocations without locality, %d ns and %d with it", without.NsPerOp(), without.AllocsPerOp(), with.NsPerOp(), with.AllocsPerOp())
	if with.AllocsPerOp() > without.AllocsPerOp() {
		t.Fatalf("%d allocations without locality, %d with it", without.AllocsPerOp(), with.AllocsPerOp())
	}
}
