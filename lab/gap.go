package lab

import (
	"math"
	"time"
)

// gapSpan is the span over which users compare teams, in seconds.
const gapSpan = 6

// fairnessGap keeps, by second and team, what was asked, what engines began with, and
// whether a request had to wait too long or was refused.
type fairnessGap struct {
	teams int
	// largest is what the largest request counts.
	largest float64
	seconds [][]gapSecond
}

type gapSecond struct {
	asked, began float64
	held         bool
}

func newGap(teams int) *fairnessGap { return &fairnessGap{teams: teams} }

func (g *fairnessGap) at(now time.Duration, team int) *gapSecond {
	i := int(now / time.Second)
	for len(g.seconds) <= i {
		g.seconds = append(g.seconds, make([]gapSecond, g.teams))
	}
	return &g.seconds[i][team]
}

// worst is the least part that a team got, over any span in which it had to wait in
// each second, of what it asked or the best served team got, whichever was less. 1
// if none had to wait so long; users call less than a half unfair.
func (g *fairnessGap) worst() float64 { return g.worstBeyond(0) }

// worstBeyond is the same, with so many of the largest requests left out of what is due: a
// small team waits for one or two of them all the while.
func (g *fairnessGap) worstBeyond(requests float64) float64 {
	worst := 1.0
	for team := range g.teams {
		for from := range max(len(g.seconds)-gapSpan+1, 0) {
			worst = min(worst, g.part(team, from, requests*g.largest))
		}
	}
	return worst
}

func (g *fairnessGap) part(team, from int, leftOut float64) float64 {
	due, got := 0.0, 0.0
	for _, second := range g.seconds[from : from+gapSpan] {
		s := second[team]
		if !s.held {
			return 1
		}
		best := 0.0
		for _, other := range second {
			best = max(best, other.began)
		}
		due += math.Min(s.asked, best)
		got += s.began
	}
	return got / max(due-leftOut, 1)
}
