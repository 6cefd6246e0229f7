package dispatch

import "time"

// yield is what an engine serves for a millisecond of reading, in tokens as teams'
// shares count them: parts that are kept count too.
type yield struct{ tokens, ms float64 }

const (
	// yieldKeep is the weight of the past: some hundred requests.
	yieldKeep = 0.99
	// priorYield and priorMs are what is taken before any request was read.
	priorYield = 60
	priorMs    = 1000
)

// add notes a request that was read.
func (y *yield) add(tokens float64, took time.Duration) {
	y.tokens = y.tokens*yieldKeep + tokens
	y.ms = y.ms*yieldKeep + inMillis(took)
}

func (y *yield) perMs() float64 { return (y.tokens + priorYield*priorMs) / (y.ms + priorMs) }
