package dispatch

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// Guards against slowdowns that aren't positive and finite or out of bounds, whatever was stated when.
func TestSlowdownStaysWithinBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		within := And(BeNumerically(">=", 1-1e-9), BeNumerically("<=", maxSlowdown+1e-9))
		now := time.Second
		p := newPresentSpeed(now, rapid.Float64().Draw(t, "first"))
		span := rapid.Custom(func(t *rapid.T) time.Duration {
			return time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "ns"))
		})
		for range rapid.IntRange(0, 2*speedReports).Draw(t, "reports") {
			now += span.Draw(t, "gap")
			r := LoadReport{Slots: 1, Slowdown: rapid.Float64().Draw(t, "slowdown")}
			if r.StatesSpeed() {
				p.observe(now-span.Draw(t, "age"), r.Slowdown)
			}
			g.Expect(p.slowdown(now)).To(within)
			g.Expect(p.mean).To(within)
			end := now - span.Draw(t, "delay")
			g.Expect(p.meanSlowdown(end-span.Draw(t, "work"), end)).To(within)
		}
	})
}

// Guards against work that is measured at the wrong speed: of 300 ms, 100 were at the usual speed, 100 in a
// change of it and 100 at half of it.
func TestMeanSlowdownCountsWork(t *testing.T) {
	g := NewWithT(t)
	p := newPresentSpeed(time.Second, 1)
	for i, slowdown := range []float64{1, 2, 2} {
		p.observe(time.Second+time.Duration(i+1)*100*time.Millisecond, slowdown)
	}
	g.Expect(p.meanSlowdown(time.Second, time.Second+300*time.Millisecond)).To(BeNumerically("~", 3/(1+0.75+0.5), 1e-9))
	g.Expect(p.meanSlowdown(time.Second+200*time.Millisecond, time.Second+300*time.Millisecond)).To(BeNumerically("~", 2, 1e-9))
	g.Expect(p.meanSlowdown(time.Second-time.Hour, time.Second)).To(BeNumerically("~", 1, 1e-9))
}
