package dispatch

import (
	"cmp"
	"math"
	"slices"
)

// demand is what a team asks of the group, and what it got elsewhere.
type demand struct {
	asked, elsewhere float64
}

// waterLevel is the most that teams may have in all, so that what the group gives to each
// up to that, and no more than it asks, adds up to the room (max-min fairness over what
// teams have). It is infinite if all can be given what they ask.
//
// As the level rises from 0, a team is given more once the level is above what it got
// elsewhere, until it has what it asks: the sum is piecewise linear, and the level is
// found by going over the points where it bends.
func waterLevel(demands []demand, room float64) float64 {
	bends := make([]bend, 0, 2*len(demands))
	for _, d := range demands {
		bends = append(bends, bend{at: d.elsewhere, slope: 1}, bend{at: d.elsewhere + d.asked, slope: -1})
	}
	slices.SortFunc(bends, func(a, b bend) int {
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.slope, b.slope))
	})
	level, given, slope := 0.0, 0.0, 0.0
	for _, b := range bends {
		more := slope * (b.at - level)
		if given+more > room {
			return level + (room-given)/slope
		}
		given += more
		level = b.at
		slope += b.slope
	}
	return math.Inf(1)
}

// bend is a level at which the number of teams that are given more changes.
type bend struct{ at, slope float64 }
