package lab

import (
	"cmp"
	"slices"
	"time"
)

// ledgerWindow is the span over which users reckon shares.
const ledgerWindow = 4 * time.Second

// ledger keeps what teams asked for, were owed and earned, by window and team.
type ledger struct {
	sheet   *Sheet
	windows []map[int]*entry
}

type entry struct {
	// offered and earned are worth, asked is in tokens.
	offered, earned, asked float64
}

func newLedger(s *Sheet) *ledger { return &ledger{sheet: s} }

func (l *ledger) entry(at time.Duration, team int) *entry {
	i := int(at / ledgerWindow)
	for len(l.windows) <= i {
		l.windows = append(l.windows, map[int]*entry{})
	}
	e := l.windows[i][team]
	if e == nil {
		e = &entry{}
		l.windows[i][team] = e
	}
	return e
}

func (l *ledger) ask(at time.Duration, team int, worth, tokens float64) {
	e := l.entry(at, team)
	e.offered += worth
	e.asked += tokens
}

func (l *ledger) earn(at time.Duration, team int, worth float64) { l.entry(at, team).earned += worth }

// level is the max-min share of a window: teams that ask for less get all.
func (l *ledger) level(window map[int]*entry) float64 {
	left := l.sheet.TokensPerSecond * ledgerWindow.Seconds()
	asked := make([]float64, 0, len(window))
	for _, e := range window {
		asked = append(asked, e.asked)
	}
	slices.Sort(asked)
	for i, want := range asked {
		share := left / float64(len(asked)-i)
		if want > share {
			return share
		}
		left -= want
	}
	return left + 1e18
}

// sums adds up what each team was owed and earned of it.
func (l *ledger) sums() (owed, earned []float64) {
	owed, earned = make([]float64, l.sheet.Teams), make([]float64, l.sheet.Teams)
	for _, window := range l.windows {
		level := l.level(window)
		for team, e := range window {
			due := e.offered * min(1, level/max(e.asked, 1))
			owed[team] += due
			earned[team] += min(e.earned, due)
		}
	}
	return owed, earned
}

// all is what was earned of all that was offered.
func (l *ledger) all() float64 {
	earned, offered := 0.0, 0.0
	for _, window := range l.windows {
		// Sums of floats depend on the order; teams come in theirs.
		for team := range l.sheet.Teams {
			if e := window[team]; e != nil {
				earned += e.earned
				offered += e.offered
			}
		}
	}
	return earned / offered
}

// small is the worth that the smaller half of the teams got.
func (l *ledger) small() float64 {
	earned, offered := make([]float64, l.sheet.Teams), make([]float64, l.sheet.Teams)
	for _, window := range l.windows {
		for team, e := range window {
			earned[team] += e.earned
			offered[team] += e.offered
		}
	}
	order := ranks(l.sheet.Teams, func(a, b int) int { return cmp.Compare(offered[a], offered[b]) })
	return part(order[:l.sheet.Teams/2], earned, offered)
}

// owed is what was earned of what was owed.
func (l *ledger) owed() float64 {
	owed, earned := l.sums()
	return part(ranks(l.sheet.Teams, func(a, b int) int { return a - b }), earned, owed)
}

// worst is the same for the tenth of the teams that got least.
func (l *ledger) worst() float64 {
	owed, earned := l.sums()
	order := ranks(l.sheet.Teams, func(a, b int) int {
		return cmp.Compare(earned[a]/max(owed[a], 1), earned[b]/max(owed[b], 1))
	})
	return part(order[:max(l.sheet.Teams/10, 1)], earned, owed)
}

// ranks returns teams in an order.
func ranks(teams int, less func(a, b int) int) []int {
	order := make([]int, teams)
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, less)
	return order
}

func part(teams []int, earned, due []float64) float64 {
	e, d := 0.0, 0.0
	for _, t := range teams {
		e += earned[t]
		d += due[t]
	}
	return e / max(d, 1)
}
