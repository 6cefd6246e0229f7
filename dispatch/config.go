package dispatch

import "time"

// Config tunes a Core. The defaults of the engines' figures are those of one data sheet; what
// an engine does differently is learnt as its speed.
type Config struct {
	// Engine is set for model engines, whose cost is in tokens.
	Engine bool
	// TokensPerMs is an engine's prefill rate before its speed has been learnt.
	TokensPerMs float64
	// PairsPerMs is how many pairs of tokens attention takes in a millisecond. It makes
	// long prompts dearer.
	PairsPerMs float64
	// ChunkTokens are prefilled in a step; StepMs is what a step costs besides.
	ChunkTokens int
	StepMs      float64
	// TokenMs is what a token of each stream takes while an engine reads nothing: a
	// step of the batch.
	TokenMs float64
	// Window is how much unread work an engine is given ahead. Less leaves it
	// idle for a message's way; more takes the order out of our hands, as the
	// engine serves first come first served.
	Window time.Duration
	// Reread weighs the work that a placing repeats because the prompt's parts
	// are cached elsewhere. It costs the fleet's capacity, not only this
	// request's time, and pushes others' parts out of the cache.
	Reread float64
	// MinCopy is the least number of tokens worth copying from another engine:
	// below it setting up the copy takes as long as reading.
	MinCopy int
	// MinAwait is the least size of a part, in tokens, for which a request waits
	// until another has read it.
	MinAwait int
	// Spread is added for an upstream that has been busy all the time. It sends
	// new sessions to where there will be room for the sessions' next requests.
	Spread time.Duration
	// Crawl is added for each token that a request may generate, times the part of
	// the time in which the upstream reads prompts. While an engine reads, its
	// streams are slow, and a long answer may not end before its deadline.
	Crawl time.Duration
	// TargetUse is the part of the target that may be predicted to pass before
	// the first byte; the rest covers the error of the prediction.
	TargetUse float64
	// OverUse is the same for teams above their share: they take what is spare.
	OverUse float64
	// OverDecrease is the part of that which they lose with each refusal of a
	// team within its share; OverRecovery is what comes back in a second.
	OverDecrease, OverRecovery float64
	// OverPause is the least time between two such losses. A burst in one moment is
	// one sign of too much, not dozens.
	OverPause time.Duration
	// Spill is the most work that may be repeated to serve a request in time
	// that would else be refused.
	Spill time.Duration
	// KVUse is the part of the KV cache that running requests may take.
	KVUse float64
	// ShareWindow is the span over which teams' service is averaged.
	ShareWindow time.Duration
	// FailurePenalty is added, times the rate of failures, to an upstream's time.
	FailurePenalty time.Duration
	// BanMin and BanMax bound how long an upstream that can't be reached gets
	// no work.
	BanMin, BanMax time.Duration
}

// DefaultConfig returns settings for model engines or for plain services.
func DefaultConfig(engine bool) Config {
	return Config{
		Engine:         engine,
		TokensPerMs:    38.7,
		PairsPerMs:     1e6 / 0.737,
		ChunkTokens:    2048,
		StepMs:         8,
		TokenMs:        6,
		Window:         120 * time.Millisecond,
		Reread:         3,
		MinCopy:        300,
		MinAwait:       150,
		Spread:         60 * time.Millisecond,
		Crawl:          2 * time.Millisecond,
		TargetUse:      0.9,
		OverUse:        0.4,
		OverDecrease:   0.4,
		OverRecovery:   0.1,
		OverPause:      100 * time.Millisecond,
		Spill:          40 * time.Millisecond,
		KVUse:          0.85,
		ShareWindow:    3 * time.Second,
		FailurePenalty: 400 * time.Millisecond,
		BanMin:         500 * time.Millisecond,
		BanMax:         4 * time.Second,
	}
}
