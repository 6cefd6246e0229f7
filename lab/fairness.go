package lab

import (
	"math"
	"time"
)

// fairnessWindowSeconds is the window over which users compare the service of teams.
const fairnessWindowSeconds = 6

// fairnessMeter records, by second and team, the tokens requested, the tokens of requests
// that engines started, and whether a request waited too long or was refused.
type fairnessMeter struct {
	teams int
	// largestRequest is the size of the largest request in charged tokens.
	largestRequest float64
	seconds        [][]teamSecond
}

type teamSecond struct {
	requestedTokens, startedTokens float64
	underserved                    bool
}

func newFairnessMeter(teams int) *fairnessMeter { return &fairnessMeter{teams: teams} }

func (m *fairnessMeter) at(now time.Duration, team int) *teamSecond {
	i := int(now / time.Second)
	for len(m.seconds) <= i {
		m.seconds = append(m.seconds, make([]teamSecond, m.teams))
	}
	return &m.seconds[i][team]
}

// worstRatio returns the lowest ratio of service to due of any team in any window. A window
// counts only if the team was underserved in each of its seconds; what is due is the sum, over
// the seconds, of the lesser of the team's requests and the best-served team's service in that
// second. It returns 1 if no window counts; users call a ratio below one half unfair.
func (m *fairnessMeter) worstRatio() float64 { return m.trimmedWorstRatio(0) }

// trimmedWorstRatio is worstRatio with that many of the largest requests subtracted from what
// is due, because a small team continually waits for one or two of them.
func (m *fairnessMeter) trimmedWorstRatio(trimmed float64) float64 {
	lowest := 1.0
	for team := range m.teams {
		for from := range max(len(m.seconds)-fairnessWindowSeconds+1, 0) {
			lowest = min(lowest, m.windowRatio(team, from, trimmed*m.largestRequest))
		}
	}
	return lowest
}

func (m *fairnessMeter) windowRatio(team, from int, trimmedTokens float64) float64 {
	due, served := 0.0, 0.0
	for _, second := range m.seconds[from : from+fairnessWindowSeconds] {
		s := second[team]
		if !s.underserved {
			return 1
		}
		best := 0.0
		for _, other := range second {
			best = max(best, other.startedTokens)
		}
		due += math.Min(s.requestedTokens, best)
		served += s.startedTokens
	}
	return served / max(due-trimmedTokens, 1)
}
