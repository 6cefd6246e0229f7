package dispatch

import "time"

// Config tunes a Core. The defaults of the engines' figures are those of one data sheet; what
// an engine does differently is learnt as its speed.
type Config struct {
	// Engine is set for model engines, whose cost is in tokens.
	Engine bool
	// PrefillTokensPerMs is an engine's prefill rate before its speed has been learnt.
	PrefillTokensPerMs float64
	// AttentionPairsPerMs is how many pairs of tokens attention takes in a millisecond. It makes
	// long prompts dearer.
	AttentionPairsPerMs float64
	// ChunkTokens are prefilled in a step; PrefillStepMs is what a step costs besides.
	ChunkTokens   int
	PrefillStepMs float64
	// DecodeStepMs is what a token of each stream takes while an engine reads nothing: a
	// step of the batch.
	DecodeStepMs float64
	// BacklogWindow is how much unread work an engine is given ahead. Less leaves it
	// idle for a message's way; more takes the order out of our hands, as the
	// engine serves first come first served.
	BacklogWindow time.Duration
	// RecomputeWeight weighs the work that a placing repeats because the prompt's parts
	// are cached elsewhere. It costs the fleet's capacity, not only this
	// request's time, and pushes others' parts out of the cache.
	RecomputeWeight float64
	// MinCopyTokens is the least number of tokens worth copying from another engine:
	// below it setting up the copy takes as long as reading.
	MinCopyTokens int
	// MinAwaitTokens is the least size of a part, in tokens, for which a request waits
	// until another has read it.
	MinAwaitTokens int
	// LoadPenalty is added for an upstream that has been busy all the time. It sends
	// new sessions to where there will be room for the sessions' next requests.
	LoadPenalty time.Duration
	// DecodePenalty is added for each token that a request may generate, times the part of
	// the time in which the upstream reads prompts. While an engine reads, its
	// streams are slow, and a long answer may not end before its deadline.
	DecodePenalty time.Duration
	// TargetFraction is the part of the target that may be predicted to pass before
	// the first byte; the rest covers the error of the prediction.
	TargetFraction float64
	// OverShareTargetFraction is the same for teams above their share: they take what is spare.
	OverShareTargetFraction float64
	// OverShareDecrease is the part of that which they lose with each refusal of a
	// team within its share; OverShareRecovery is what comes back in a second.
	OverShareDecrease, OverShareRecovery float64
	// OverShareDecreaseInterval is the least time between two such losses. A burst in one moment is
	// one sign of too much, not dozens.
	OverShareDecreaseInterval time.Duration
	// MaxRecompute is the most work that may be repeated to serve a request in time
	// that would else be refused.
	MaxRecompute time.Duration
	// MaxKVFraction is the part of the KV cache that running requests may take.
	MaxKVFraction float64
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
		Engine:                    engine,
		PrefillTokensPerMs:        38.7,
		AttentionPairsPerMs:       1e6 / 0.737,
		ChunkTokens:               2048,
		PrefillStepMs:             8,
		DecodeStepMs:              6,
		BacklogWindow:             120 * time.Millisecond,
		RecomputeWeight:           3,
		MinCopyTokens:             300,
		MinAwaitTokens:            150,
		LoadPenalty:               60 * time.Millisecond,
		DecodePenalty:             2 * time.Millisecond,
		TargetFraction:            0.9,
		OverShareTargetFraction:   0.4,
		OverShareDecrease:         0.4,
		OverShareRecovery:         0.1,
		OverShareDecreaseInterval: 100 * time.Millisecond,
		MaxRecompute:              40 * time.Millisecond,
		MaxKVFraction:             0.85,
		ShareWindow:               3 * time.Second,
		FailurePenalty:            400 * time.Millisecond,
		BanMin:                    500 * time.Millisecond,
		BanMax:                    4 * time.Second,
	}
}
