package fleet

import (
	"math"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/aspenswitch/aspenswitch/dispatch"
)

// Guards against loads that change on their way to the home, or that aren't sent.
func TestLoadIsReportedUnchanged(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(0, 1<<loadCountBits-1)
		sent := dispatch.LoadReport{
			Running: count.Draw(t, "running"), Waiting: count.Draw(t, "waiting"), Slots: max(count.Draw(t, "slots"), 1),
			Slowdown: float64(rapid.IntRange(1, 1<<loadSlowdownBits-1).Draw(t, "percent")) * slowdownUnit,
			Age:      time.Duration(rapid.IntRange(0, 1<<loadAgeBits-1).Draw(t, "age")) * time.Millisecond,
		}
		NewWithT(t).Expect(packLoad(sent).unpack()).To(Equal(sent))
	})
}

// Guards against loads out of bounds, and against ones without the figure that is used.
func TestUnusedLoadsAreNotSent(t *testing.T) {
	g := NewWithT(t)
	g.Expect(packLoad(dispatch.LoadReport{})).To(BeZero())
	g.Expect(packLoad(dispatch.LoadReport{Running: 3, Slots: 8})).To(BeZero())
	g.Expect(packLoad(dispatch.LoadReport{Slots: 8, Slowdown: 1, Age: time.Second})).To(BeZero())
	huge := packLoad(dispatch.LoadReport{Running: math.MaxInt, Waiting: -1, Slots: math.MaxInt, Slowdown: 1e300, Age: -1}).unpack()
	g.Expect(huge).To(Equal(dispatch.LoadReport{Running: 16383, Slots: 16383, Slowdown: 40.95}))
	g.Expect(packedLoad(math.MinInt64).unpack().Stated()).To(BeFalse())
}
