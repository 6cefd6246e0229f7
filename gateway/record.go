package gateway

import (
	"time"

	"github.com/rs/zerolog"
)

// record holds the log fields of a request: the inputs of the decisions on it, with the age
// of the state, and its outcome.
type record struct {
	id, route, team, service string
	configVersion            int64
	stateAge                 time.Duration
	// remaining is the time until the request's deadline at its arrival.
	remaining time.Duration
	upstream  string
	// version is the software version of upstream, upstreamDomain its failure domain.
	version, upstreamDomain string
	// framing is how the last upstream's response marked the end of its body. streamEnd is where its
	// stream ended, "" if it was complete.
	framing, streamEnd string
	// resumes is the attempt that the caller claims to continue, resumedAfter the last event
	// that it or this router has of the stream.
	resumes, resumedAfter string
	// versionSource is where the software version that began that stream was recorded, or why it is unknown.
	versionSource string
	// copyFrom is the engine from which parts of the prompt were copied.
	copyFrom string
	// prompt and output are the token counts used for placement.
	prompt, output int
	attempts       int
	// predictedFirstByte is the time to the first byte that the placement predicted,
	// placementTime is the duration of all placements, and firstByte is the time from the
	// arrival of the request to the first byte of the response body.
	predictedFirstByte, placementTime, firstByte time.Duration
	// sinceFirstAttempt is the time since the caller's first attempt.
	sinceFirstAttempt time.Duration
	overShare         bool
	// lag is the router's processing delay, set if it was the reason for the outcome.
	lag time.Duration
	// content is the content hash, set if an upstream connection broke during the request or the
	// request was quarantined for it.
	content string
	// part is the part of the prompt for which the request was quarantined.
	part string
	// upstreamLeaving and upstreamRetryAfter are from the response of the last upstream.
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
		Int64("config", r.configVersion).Int64("age_ms", r.stateAge.Milliseconds()).Int64("left_ms", r.remaining.Milliseconds()).
		Int("prompt", r.prompt).Int("output", r.output).Str("upstream", r.upstream).Int("attempts", r.attempts).
		Int64("predicted_ms", r.predictedFirstByte.Milliseconds()).Int64("placed_ms", r.placementTime.Milliseconds()).
		Int64("first_ms", r.firstByte.Milliseconds()).Int("status", r.status).Str("outcome", r.outcome)
	if r.version != "" {
		e.Str("version", r.version)
	}
	if r.upstreamDomain != "" {
		e.Str("upstream_domain", r.upstreamDomain)
	}
	if r.framing != "" {
		e.Str("framing", r.framing)
	}
	if r.streamEnd != "" {
		e.Str("stream_end", r.streamEnd)
	}
	if r.resumes != "" {
		e.Str("continues", r.resumes)
	}
	if r.versionSource != "" {
		e.Str("version_from", r.versionSource)
	}
	if r.resumedAfter != "" {
		e.Str("resumed_after", r.resumedAfter)
	}
	if r.copyFrom != "" {
		e.Str("copy_from", r.copyFrom)
	}
	if r.sinceFirstAttempt > 0 {
		e.Int64("waited_ms", r.sinceFirstAttempt.Milliseconds())
	}
	if r.overShare {
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
	if r.part != "" {
		e.Str("part", r.part)
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
