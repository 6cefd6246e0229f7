package dispatch

import (
	"math"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// Checks that the tokens given up to the share add up to the capacity, with no team given
// more than it requests and none above the share given anything.
func TestMaxMinShareDividesTheCapacity(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		tokens := rapid.Float64Range(0, 1e6)
		var demands []demand
		requested := 0.0
		for range rapid.IntRange(1, 20).Draw(rt, "teams") {
			d := demand{requested: tokens.Draw(rt, "asked"), remote: tokens.Draw(rt, "elsewhere")}
			requested += d.requested
			demands = append(demands, d)
		}
		capacity := tokens.Draw(rt, "room") * 10
		share := maxMinShare(demands, capacity)
		if requested <= capacity {
			if !math.IsInf(share, 1) {
				rt.Fatalf("share %f, although the demand of %f is within the capacity of %f", share, requested, capacity)
			}
			return
		}
		given := 0.0
		for _, d := range demands {
			given += min(d.requested, max(share-d.remote, 0))
		}
		if math.Abs(given-capacity) > 1 {
			rt.Fatalf("%f tokens given of a capacity of %f at share %f", given, capacity, share)
		}
	})
}

// Checks that teams divide the capacity evenly, except for those that request less; remote
// usage counts.
func TestMaxMinShareOfSomeDemands(t *testing.T) {
	g := NewWithT(t)
	g.Expect(maxMinShare([]demand{{requested: 10}, {requested: 100}, {requested: 500}}, 100)).To(BeNumerically("~", 45, 1e-9))
	g.Expect(maxMinShare([]demand{{requested: 10}, {requested: 100, remote: 30}, {requested: 500}}, 100)).To(BeNumerically("~", 60, 1e-9))
	g.Expect(math.IsInf(maxMinShare(nil, 0), 1)).To(BeTrue())
}
