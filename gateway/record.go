package gateway

import (
	"time"

	"github.com/rs/zerolog"
)

// record is what the log tells of a request: the inputs that decided and how
// old they were.
type record struct {
	id, route, team, service string
	config                   int64
	age                      time.Duration
	// left is how long the caller still waited when its request came.
	left     time.Duration
	upstream string
	// copyFrom is the engine from which parts of the prompt were copied.
	copyFrom string
	// prompt and output are the tokens that the placing reckoned with.
	prompt, output int
	attempts       int
	// predicted is the time to the first byte that placing expected; placed is
	// how long placing took, first when the first byte came.
	predicted, placed, first time.Duration
	// waited is how long before this attempt the caller made its first.
	waited time.Duration
	over   bool
	// lag is how far the router was behind, if that decided.
	lag time.Duration
	// content is the content hash, set if an upstream connection broke during the request or
	// the request was quarantined.
	content string
	// upstreamLeaving and upstreamRetryAfter are from the answer of the last upstream.
	upstreamLeaving    bool
	upstreamRetryAfter time.Duration
	retryAfter         time.Duration
	status             int
	outcome            string
	cause              string
}

// MarshalZerologObject implements zerolog.LogObjectMarshaler.
func (r *record) MarshalZerologObject(e *zerolog.Event) {
	e.Str("request", r.id).Str("route", r.route).Str("team", r.team).Str("service", r.service).
		Int64("config", r.config).Int64("age_ms", r.age.Milliseconds()).Int64("left_ms", r.left.Milliseconds()).
		Int("prompt", r.prompt).Int("output", r.output).Str("upstream", r.upstream).Int("attempts", r.attempts).
		Int64("predicted_ms", r.predicted.Milliseconds()).Int64("placed_ms", r.placed.Milliseconds()).
		Int64("first_ms", r.first.Milliseconds()).Int("status", r.status).Str("outcome", r.outcome)
	if r.copyFrom != "" {
		e.Str("copy_from", r.copyFrom)
	}
	if r.waited > 0 {
		e.Int64("waited_ms", r.waited.Milliseconds())
	}
	if r.over {
		e.Bool("over_share", true)
	}
	if r.lag > 0 {
		e.Int64("lag_ms", r.lag.Milliseconds())
	}
	if r.retryAfter > 0 {
		e.Int64("retry_after_ms", r.retryAfter.Milliseconds())
	}
	if r.content != "" {
		e.Str("content", r.content)
	}
	if r.upstreamLeaving {
		e.Bool("upstream_leaving", true)
	}
	if r.upstreamRetryAfter > 0 {
		e.Int64("upstream_rest_ms", r.upstreamRetryAfter.Milliseconds())
	}
	if r.cause != "" {
		e.Str("cause", r.cause)
	}
}
