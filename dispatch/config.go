package dispatch

import "time"

// Config holds the parameters of a Core. The defaults for engines come from one data
// sheet; deviations of an upstream are learnt from its answers (see prefillFit).
type Config struct {
	// Engine is set for model engines, whose cost is counted in tokens.
	Engine bool
	Features
	// PrefillTokensPerMs is an engine's prefill rate before it has been measured.
	PrefillTokensPerMs float64
	// AttentionPairsPerMs is the number of token pairs that attention processes per
	// millisecond. It makes long prompts more expensive per token.
	AttentionPairsPerMs float64
	// ChunkTokens is the number of tokens prefilled in one step, and PrefillStepMs the
	// fixed cost of a step.
	ChunkTokens   int
	PrefillStepMs float64
	// DecodeStepMs is the time per output token of each stream while the engine prefills
	// nothing, that is, one step of the batch.
	DecodeStepMs float64
	// BacklogWindow is the backlog up to which an engine is sent more work. A smaller
	// window leaves the engine idle for the duration of a message; a larger one takes the
	// order out of the scheduler's hands, because engines serve first come, first served.
	BacklogWindow time.Duration
	// RecomputeWeight weighs the prefill work that a placement repeats because parts of
	// the prompt are cached on another engine. Repeated work costs the capacity of the
	// fleet, not only latency of this request, and evicts other cached parts.
	RecomputeWeight float64
	// MinCopyTokens is the minimum number of tokens to copy from another engine. Below it,
	// setting up the copy takes as long as the prefill.
	MinCopyTokens int
	// MinAwaitTokens is the minimum size of a part, in tokens, for which a request waits
	// until another request has prefilled it.
	MinAwaitTokens int
	// LoadPenalty is added to the score of an upstream twice: once times its utilization,
	// and once times its fraction of used slots. It places new sessions where there will be
	// room for their next requests.
	LoadPenalty time.Duration
	// DistanceFraction is the fraction of a request's target by which an engine in another
	// failure domain than that of its router has to be better than those in the domain. It is
	// small beside TargetFraction: callers hardly notice the delay.
	DistanceFraction float64
	// DistanceWork is the time of copies or prefill that may be repeated in a failure domain for
	// each of its requests for a session, so that the next ones stay in the domain. It is twice
	// what a request and its connection take longer between domains 1.4 ms apart.
	DistanceWork time.Duration
	// DecodePenalty is added to the score for each token that a request may generate,
	// times the upstream's utilization. Streams are slow while an engine prefills, and a
	// long answer may miss its deadline.
	DecodePenalty time.Duration
	// TargetFraction is the fraction of the target that the predicted time to first byte
	// may take. The rest covers the prediction error.
	TargetFraction float64
	// OverShareTargetFraction is the maximum of that fraction for teams above their share,
	// which only get spare capacity.
	OverShareTargetFraction float64
	// OverShareDecrease is the relative decrease of the fraction of teams above their share
	// when a request of a team within its share is refused: 0.4 reduces the fraction to 0.6
	// of its value. OverShareRecovery is added to the fraction per second.
	OverShareDecrease, OverShareRecovery float64
	// OverShareDecreaseInterval is the minimum time between two such decreases. A burst is
	// a single sign of overload, however many requests it has.
	OverShareDecreaseInterval time.Duration
	// MaxRecompute is the maximum prefill work that may be repeated to serve a request in
	// time that would otherwise be refused.
	MaxRecompute time.Duration
	// MaxKVFraction is the fraction of the KV cache that running requests may use.
	MaxKVFraction float64
	// ShareWindow is the window over which the usage of teams is averaged.
	ShareWindow time.Duration
	// FailurePenalty is added to the score of an upstream, times its excess failure rate.
	FailurePenalty time.Duration
	// BanMin and BanMax bound how long an unreachable upstream gets no requests.
	BanMin, BanMax time.Duration
}

// DefaultConfig returns the configuration for model engines or for plain services.
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
		DistanceFraction:          0.1,
		DistanceWork:              10 * time.Millisecond,
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
