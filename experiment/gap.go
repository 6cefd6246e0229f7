package experiment

// maxMeteredTeams bounds the pairs that are followed.
const maxMeteredTeams = 64

// pairRange is the spread of the difference in weighted service between two
// teams while both have been backlogged.
type pairRange struct {
	open      bool
	low, high float64
}

// gapMeter follows the largest gap in weighted service between any two teams
// over any time in which both are backlogged, in slot seconds per unit of share.
type gapMeter struct {
	teams int
	pairs []pairRange
	gap   float64
}

func newGapMeter(teams int) *gapMeter {
	return &gapMeter{teams: teams, pairs: make([]pairRange, teams*teams)}
}

// observe takes in the difference between two teams now.
func (g *gapMeter) observe(i, j int, bothWait bool, d float64) {
	p := &g.pairs[i*g.teams+j]
	if !bothWait {
		p.open = false
		return
	}
	if !p.open {
		*p = pairRange{open: true, low: d, high: d}
		return
	}
	p.low, p.high = min(p.low, d), max(p.high, d)
	g.gap = max(g.gap, p.high-p.low)
}
