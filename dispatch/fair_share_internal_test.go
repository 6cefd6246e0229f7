package dispatch

import (
	"math"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// What is given up to the level is what there is, nobody is given more than it asks, and
// nobody who has more than the level in all is given anything.
func TestWaterLevelDividesTheRoom(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		tokens := rapid.Float64Range(0, 1e6)
		var demands []demand
		asked := 0.0
		for range rapid.IntRange(1, 20).Draw(rt, "teams") {
			d := demand{requested: tokens.Draw(rt, "asked"), remote: tokens.Draw(rt, "elsewhere")}
			asked += d.requested
			demands = append(demands, d)
		}
		room := tokens.Draw(rt, "room") * 10
		level := maxMinShare(demands, room)
		if asked <= room {
			if !math.IsInf(level, 1) {
				rt.Fatalf("a level of %f where %f of %f are asked", level, asked, room)
			}
			return
		}
		given := 0.0
		for _, d := range demands {
			given += min(d.requested, max(level-d.remote, 0))
		}
		if math.Abs(given-room) > 1 {
			rt.Fatalf("%f given of %f at level %f", given, room, level)
		}
	})
}

// Teams that got nothing elsewhere divide the room alike, but for those that ask for less.
func TestWaterLevelWithoutOtherGroups(t *testing.T) {
	g := NewWithT(t)
	g.Expect(maxMinShare([]demand{{requested: 10}, {requested: 100}, {requested: 500}}, 100)).To(BeNumerically("~", 45, 1e-9))
	g.Expect(maxMinShare([]demand{{requested: 10}, {requested: 100, remote: 30}, {requested: 500}}, 100)).To(BeNumerically("~", 60, 1e-9))
	g.Expect(math.IsInf(maxMinShare(nil, 0), 1)).To(BeTrue())
}
