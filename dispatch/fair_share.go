package dispatch

import (
	"cmp"
	"math"
	"slices"
)

// demand is what a team requests from the group, and its usage at other homes.
type demand struct {
	requested, remote float64
}

// maxMinShare returns the largest total usage of a team such that the tokens given by the
// group, to each team up to this total and its demand, add up to the capacity (max-min
// fairness over total usage). It is infinite if all demands can be met.
//
// As the share rises from 0, a team is given tokens once the share exceeds its remote
// usage and until its demand is met. The sum is piecewise linear in the share, so the
// share is found by visiting the breakpoints in order.
func maxMinShare(demands []demand, capacity float64) float64 {
	breakpoints := make([]breakpoint, 0, 2*len(demands))
	for _, d := range demands {
		breakpoints = append(breakpoints, breakpoint{at: d.remote, slope: 1}, breakpoint{at: d.remote + d.requested, slope: -1})
	}
	slices.SortFunc(breakpoints, func(a, b breakpoint) int {
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.slope, b.slope))
	})
	level, given, slope := 0.0, 0.0, 0.0
	for _, b := range breakpoints {
		more := slope * (b.at - level)
		if given+more > capacity {
			return level + (capacity-given)/slope
		}
		given += more
		level = b.at
		slope += b.slope
	}
	return math.Inf(1)
}

// breakpoint is a share at which the number of teams that are given more tokens changes by
// slope.
type breakpoint struct{ at, slope float64 }
