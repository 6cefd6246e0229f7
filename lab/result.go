package lab

import "github.com/aspenswitch/aspenswitch/dispatch"

// Result holds the outcome of a simulation as fractions of what was offered.
type Result struct {
	Policy Policy
	// Worth is earned worth divided by offered worth. WorthByClass is the same by class,
	// SmallTeamsWorth for the smaller half of the teams.
	Worth           float64
	WorthByClass    map[string]float64
	SmallTeamsWorth float64
	// FairShareWorth is the earned fraction of the worth within the teams' fair shares: requests
	// beyond a team's max-min share of the published capacity count neither as earned nor as
	// offered. WorstTeamsWorth is the same for the tenth of the teams with the lowest fraction.
	FairShareWorth, WorstTeamsWorth float64
	// FairnessRatio is the lowest ratio of service to due of any team over six seconds.
	FairnessRatio float64
	// TrimmedFairnessRatio is the same with three of the largest requests subtracted from what
	// is due, as users compute it.
	TrimmedFairnessRatio float64
	// OnTime, Late, Refused, TimedOut and Failed are fractions of the requests. Failed ones met
	// engines that crashed.
	OnTime, Late, Refused, TimedOut, Failed float64
	// Refusals is the number of refusals per request.
	Refusals float64
	// Counts are the sums over all homes.
	Counts dispatch.Counts
	// RedundantPrefill is the fraction of the prefilled tokens that were shared parts cached at
	// another engine.
	RedundantPrefill float64
	// ContinuedBegun and NewBegun are the fractions of the continued streams and of the other
	// requests that an engine began to answer.
	ContinuedBegun, NewBegun float64
	// FarBytes is the mean number of bytes of a request and its answer that crossed between
	// failure domains, and Copied the fraction of the prompt tokens that were copied between
	// engines.
	FarBytes, Copied float64
	// Crash is what a CrashingPart causes.
	Crash   CrashResult
	offered float64
}

// trimmedRequests is how many of the largest requests users leave out when they compare teams.
const trimmedRequests = 3

// summarize converts counts to fractions.
func (s *simulation) summarize() Result {
	res := s.result
	n := res.offered
	res.OnTime, res.Late, res.Refused, res.TimedOut = res.OnTime/n, res.Late/n, res.Refused/n, res.TimedOut/n
	res.Failed /= n
	res.Refusals /= n
	offered := make([]int, len(s.load.Sheet.Classes))
	for _, r := range s.requests {
		offered[r.class]++
	}
	for i, c := range s.load.Sheet.Classes {
		res.WorthByClass[c.Name] /= float64(offered[i]) * c.Worth
	}
	res.Worth, res.SmallTeamsWorth = s.earnings.totalRatio(), s.earnings.smallTeamsRatio()
	res.FairShareWorth, res.WorstTeamsWorth, res.FairnessRatio = s.earnings.earnings(), s.earnings.worstRatio(), s.fairness.worstRatio()
	res.TrimmedFairnessRatio = s.fairness.trimmedWorstRatio(trimmedRequests)
	res.ContinuedBegun, res.NewBegun = s.begunRatio(oldVersion), s.begunRatio("")
	prefilled, redundant, copied := 0, 0, 0
	for _, e := range s.engines {
		prefilled += e.prefilled
		redundant += e.redundant
		copied += e.copied
	}
	if s.crash != nil {
		res.Crash = s.crash.result
	}
	for _, core := range s.cores {
		res.Counts = res.Counts.Plus(core.State(s.clock.now).Counts)
	}
	res.FarBytes, res.Copied = float64(s.farBytes)/n, float64(copied)/float64(max(s.promptTokens, 1))
	res.RedundantPrefill = float64(redundant) / float64(max(prefilled, 1))
	return res
}
