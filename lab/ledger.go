package lab

import (
	"cmp"
	"slices"
	"time"
)

// ledgerWindow is the window over which users compute shares.
const ledgerWindow = 4 * time.Second

// ledger records requests and earned worth by window and team.
type ledger struct {
	sheet   *Sheet
	windows []map[int]*entry
}

type entry struct {
	// offered and earned are in units of worth, requested is in charged tokens.
	offered, earned, requested float64
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

func (l *ledger) recordRequest(at time.Duration, team int, worth, tokens float64) {
	e := l.entry(at, team)
	e.offered += worth
	e.requested += tokens
}

func (l *ledger) recordEarned(at time.Duration, team int, worth float64) {
	l.entry(at, team).earned += worth
}

// maxMinShare returns the max-min fair share of a window in tokens. Teams that request
// less get all that they request.
func (l *ledger) maxMinShare(window map[int]*entry) float64 {
	remaining := l.sheet.TokensPerSecond * ledgerWindow.Seconds()
	requested := make([]float64, 0, len(window))
	for _, e := range window {
		requested = append(requested, e.requested)
	}
	slices.Sort(requested)
	for i, demand := range requested {
		share := remaining / float64(len(requested)-i)
		if demand > share {
			return share
		}
		remaining -= demand
	}
	return remaining + 1e18
}

// fairShareTotals returns, by team, the worth within its fair share and the part of it that was earned.
func (l *ledger) fairShareTotals() (fairShares, earned []float64) {
	fairShares, earned = make([]float64, l.sheet.Teams), make([]float64, l.sheet.Teams)
	for _, window := range l.windows {
		maxMinShare := l.maxMinShare(window)
		for team, e := range window {
			fairShare := e.offered * min(1, maxMinShare/max(e.requested, 1))
			fairShares[team] += fairShare
			earned[team] += min(e.earned, fairShare)
		}
	}
	return fairShares, earned
}

// totalRatio returns earned worth divided by offered worth.
func (l *ledger) totalRatio() float64 {
	earned, offered := 0.0, 0.0
	for _, window := range l.windows {
		// The sum of floats depends on their order, so teams are added by index.
		for team := range l.sheet.Teams {
			if e := window[team]; e != nil {
				earned += e.earned
				offered += e.offered
			}
		}
	}
	return earned / offered
}

// smallTeamsRatio returns the earned fraction of the worth that the smaller half of the teams offered.
func (l *ledger) smallTeamsRatio() float64 {
	earned, offered := make([]float64, l.sheet.Teams), make([]float64, l.sheet.Teams)
	for _, window := range l.windows {
		for team, e := range window {
			earned[team] += e.earned
			offered[team] += e.offered
		}
	}
	order := sortedTeams(l.sheet.Teams, func(a, b int) int { return cmp.Compare(offered[a], offered[b]) })
	return earnedRatio(order[:l.sheet.Teams/2], earned, offered)
}

// earnings returns the earned fraction of the worth within the teams' fair shares.
func (l *ledger) earnings() float64 {
	fairShares, earned := l.fairShareTotals()
	return earnedRatio(sortedTeams(l.sheet.Teams, func(a, b int) int { return a - b }), earned, fairShares)
}

// worstRatio is earnings for the tenth of the teams with the lowest fraction.
func (l *ledger) worstRatio() float64 {
	fairShares, earned := l.fairShareTotals()
	order := sortedTeams(l.sheet.Teams, func(a, b int) int {
		return cmp.Compare(earned[a]/max(fairShares[a], 1), earned[b]/max(fairShares[b], 1))
	})
	return earnedRatio(order[:max(l.sheet.Teams/10, 1)], earned, fairShares)
}

// sortedTeams returns the team indices sorted by compare.
func sortedTeams(teams int, compare func(a, b int) int) []int {
	order := make([]int, teams)
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, compare)
	return order
}

func earnedRatio(teams []int, earned, base []float64) float64 {
	earnedSum, baseSum := 0.0, 0.0
	for _, t := range teams {
		earnedSum += earned[t]
		baseSum += base[t]
	}
	return earnedSum / max(baseSum, 1)
}
