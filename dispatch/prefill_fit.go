package dispatch

import "time"

// prefillFit estimates the time to first byte of an engine from its answers, as
//
//	factor * predicted prefill + delay
//
// The prefill of one prompt follows that of another; the delay doesn't occupy the engine. If
// the delay were taken for prefill, the engine would be idle during it.
//
// The fit solves the normal equations of a least-squares fit with the weight 1/prefill,
// because the error grows with the prefill; it keeps their decaying sums. Without a delay, the
// factor is the ratio of the measured to the predicted sum.
type prefillFit struct {
	// prefill and measured are sums of predicted prefills and measured times in ms, and
	// delayed is the number of the times that include the delay.
	prefill, measured, delayed float64
	// The same sums over the times that include the delay, with the weight 1/prefill.
	weightedPrefill, weightedMeasured, weight float64
	// shortest is about the shortest recent time to first byte, 0 before the first one.
	shortest time.Duration
}

// estimate is the result of a fit.
type estimate struct {
	// factor is the ratio of the time of a prefill to its prediction from the configuration.
	factor float64
	// delay is the part of the time to first byte in which the engine also serves others.
	delay time.Duration
}

const (
	// minWeightedPrefillMs bounds the weight of a short prefill.
	minWeightedPrefillMs = 10
	// minFactorPrefillMs is the minimum prefill that counts for the factor. The time of a
	// shorter one is mostly that of the step in progress.
	minFactorPrefillMs = 30
)

// observeFirstByte records a time to first byte, of any prompt.
func (f *prefillFit) observeFirstByte(took time.Duration) {
	const growth = 1.01 // replaces a shortest time after some hundred longer ones
	f.shortest = time.Duration(growth * float64(f.shortest))
	if f.shortest == 0 || took < f.shortest {
		f.shortest = took
	}
}

// add adds an observation, with decay as the weight of the earlier ones. delayed is set if
// the measured time includes the delay.
func (f *prefillFit) add(decay, prefillMs, measuredMs float64, delayed bool) {
	if prefillMs >= minFactorPrefillMs {
		f.prefill = f.prefill*decay + prefillMs
		f.measured = f.measured*decay + measuredMs
		f.delayed *= decay
		if delayed {
			f.delayed++
		}
	}
	// A loaded engine is rarely idle, so these sums decay only with their own observations.
	if delayed {
		weight := 1 / max(prefillMs, minWeightedPrefillMs)
		f.weightedPrefill = f.weightedPrefill*decay + weight*prefillMs
		f.weightedMeasured = f.weightedMeasured*decay + weight*measuredMs
		f.weight = f.weight*decay + weight
	}
}

const (
	// priorPrefillMs is the prefill time that the prior of the factor counts for.
	priorPrefillMs = 300
	// upstreamDelayWeight and groupDelayWeight are the weights of the prior of the delay, which
	// differs between services more than between the engines of one: about 30 and 3
	// observations.
	upstreamDelayWeight, groupDelayWeight = 0.5, 0.05
	// minFactor bounds the factor where the delay explains all of the measured time.
	minFactor = 0.1
)

// estimate returns the fit, pulled towards prior if there are few observations. stepWait is
// how long a prompt that doesn't follow another waits for the step in progress; it counts as
// prefill, because the engine isn't free meanwhile.
func (f *prefillFit) estimate(prior estimate, delayWeight float64, stepWait time.Duration) estimate {
	prefill := f.prefill + priorPrefillMs
	measured := f.measured + priorPrefillMs*prior.factor
	weight := f.weight + delayWeight
	weightedMeasured := f.weightedMeasured + delayWeight*milliseconds(max(prior.delay, stepWait))
	determinant := prefill*weight - f.delayed*f.weightedPrefill
	delayMs := (prefill*weightedMeasured - f.weightedPrefill*measured) / determinant
	if wait := milliseconds(stepWait); delayMs > wait {
		delayMs -= wait * wait / delayMs
	} else {
		delayMs = 0
	}
	factor := max((measured-f.delayed*delayMs)/prefill, minFactor)
	return estimate{factor: factor, delay: time.Duration(delayMs * float64(time.Millisecond))}
}
