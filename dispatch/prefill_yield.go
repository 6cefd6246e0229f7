package dispatch

import "time"

// prefillYield measures what an engine serves per millisecond of prefill, in tokens as
// charged to teams' shares. Cached parts count too.
type prefillYield struct{ tokens, ms float64 }

const (
	// yieldDecay is the weight of the past, which averages over about 100 requests.
	yieldDecay = 0.99
	// priorTokensPerMs and priorMs are the prior before any prefill was measured.
	priorTokensPerMs = 60
	priorMs          = 1000
)

// add records the prefill of a request.
func (y *prefillYield) add(tokens float64, prefill time.Duration) {
	y.tokens = y.tokens*yieldDecay + tokens
	y.ms = y.ms*yieldDecay + milliseconds(prefill)
}

func (y *prefillYield) tokensPerMs() float64 {
	return (y.tokens + priorTokensPerMs*priorMs) / (y.ms + priorMs)
}
