package gcpace_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/aspenswitch/aspenswitch/gcpace"
)

// share is the processor share of the smallest VM, in cores.
const share = 0.192

// Guards against frequent collections during an overload, and against a heap that stays
// large afterwards. After a minute of low load and two seconds of overload, the
// percentage must still be raised one second later, since overload comes in waves, and
// be back at MinPercent a few seconds later.
func TestPercentRisesWhileTheProcessorIsOverloaded(t *testing.T) {
	g := NewWithT(t)
	var p gcpace.Pacer
	observe := func(use float64, times int) {
		for range times {
			p.Observe(time.Duration(use*share*float64(time.Second)), time.Second, share)
		}
	}
	observe(0.1, 60)
	g.Expect(p.Percent()).To(Equal(gcpace.MinPercent))
	observe(0.65, 2)
	g.Expect(p.Percent()).To(Equal(gcpace.MaxPercent))
	observe(0.1, 1)
	g.Expect(p.Percent()).To(BeNumerically(">", gcpace.MinPercent), "overload comes in waves")
	observe(0.1, 5)
	g.Expect(p.Percent()).To(Equal(gcpace.MinPercent))
}

// Guards against a percentage below MinPercent, with which collections are too frequent or
// off, and above MaxPercent, with which the heap exceeds the memory, whatever is observed.
func TestPercentStaysWithinItsBounds(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var p gcpace.Pacer
		for range rapid.IntRange(0, 20).Draw(rt, "times") {
			used := rapid.Int64Range(-int64(time.Second), int64(time.Hour)).Draw(rt, "used")
			span := rapid.Int64Range(-1, int64(time.Minute)).Draw(rt, "span")
			p.Observe(time.Duration(used), time.Duration(span), rapid.Float64Range(-1, 8).Draw(rt, "share"))
			if n := p.Percent(); n < gcpace.MinPercent || n > gcpace.MaxPercent {
				rt.Fatal(n)
			}
		}
	})
}
