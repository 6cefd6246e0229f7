package experiment

// maxMeteredTeams bounds the number of teams, and so of pairs, that are measured.
const maxMeteredTeams = 64

// gapRange is the range of the difference in weighted service between two teams while both
// are backlogged.
type gapRange struct {
	active    bool
	low, high float64
}

// gapMeter measures the largest gap in weighted service between any two teams over any
// period in which both are backlogged, in slot seconds per unit of share.
type gapMeter struct {
	teams int
	pairs []gapRange
	gap   float64
}

func newGapMeter(teams int) *gapMeter {
	return &gapMeter{teams: teams, pairs: make([]gapRange, teams*teams)}
}

// observe records the current difference in weighted service between teams i and j.
func (g *gapMeter) observe(i, j int, bothBacklogged bool, difference float64) {
	p := &g.pairs[i*g.teams+j]
	if !bothBacklogged {
		p.active = false
		return
	}
	if !p.active {
		*p = gapRange{active: true, low: difference, high: difference}
		return
	}
	p.low, p.high = min(p.low, difference), max(p.high, difference)
	g.gap = max(g.gap, p.high-p.low)
}
