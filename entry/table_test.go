package entry_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/aspenswitch/aspenswitch/entry"
)

// Guards against routers that are out at the same time or for as long that the others, or the fleet's
// readiness, fall short; and against routers that never return. Floods, lost routers, lost messages
// and a new hub come at random.
func TestNeverTooManyAreOutAndAllReturn(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		g := NewWithT(rt)
		d := newDomain(rapid.SliceOfN(rapid.SampledFrom([]float64{0.144, 0.144, 0.144, 0.192, 0.192, 0.48, 0.8}), 1, 24).Draw(rt, "weights")...)
		lossy := rapid.Float64Range(0, 0.3).Draw(rt, "loss")
		d.lost = func() bool { return rapid.Float64Range(0, 1).Draw(rt, "message") < lossy }
		var outTime time.Duration
		started, hubs := d.now, 1
		check := func() {
			n, cores, total := d.outNow(), 0.0, 0.0
			for _, r := range d.routers {
				total += r.weight
				if !r.lost && r.out(d.now) {
					cores += r.weight
				}
			}
			g.Expect(n).To(BeNumerically("<=", max(len(d.routers)/4, 1)), "routers out")
			g.Expect(cores).To(BeNumerically("<=", total/4+1e-9), "processor share out")
			outTime += time.Duration(n) * step
		}
		for range rapid.IntRange(2, 8).Draw(rt, "events") {
			at := d.routers[rapid.IntRange(0, len(d.routers)-1).Draw(rt, "router")]
			switch rapid.SampledFrom([]string{"flood", "flood", "flood", "hub", "end", "loss"}).Draw(rt, "event") {
			case "flood":
				if at.misses < 2 {
					d.flood(at, rapid.IntRange(1, 3).Draw(rt, "callers"), rapid.Float64Range(500, 4000).Draw(rt, "rate"))
				}
			case "hub":
				d.table, hubs = entry.NewTable(d.now, d.known()), hubs+1
			case "end":
				d.callers = nil
			case "loss":
				at.lost = !at.lost
			}
			d.run(time.Duration(rapid.IntRange(1, 40).Draw(rt, "seconds"))*time.Second, check)
		}
		allowed := time.Duration(len(d.routers)) * (time.Duration(hubs)*1500*time.Millisecond + (d.now-started)*8/100)
		g.Expect(outTime).To(BeNumerically("<=", allowed), "time out")

		d.callers, d.lost = nil, func() bool { return false }
		for _, r := range d.routers {
			r.lost = false
		}
		d.run(entry.MaxSpan+2*time.Second, nil)
		g.Expect(d.outNow()).To(BeZero())
		g.Expect(d.rotation()).To(HaveLen(len(d.routers)))
	})
}
