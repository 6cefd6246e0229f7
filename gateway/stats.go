package gateway

import (
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/aspenswitch/aspenswitch/eventstream"
	"github.com/aspenswitch/aspenswitch/upstream"
)

// stats are the gateway's counters and latency histograms.
type stats struct {
	requests tally.Counter
	outcomes map[string]tally.Counter
	other    tally.Counter
	refused  tally.Counter
	// quarantined counts requests that were rejected because their content or a part of their prompt is in quarantine.
	quarantined tally.Counter
	// unknownVersion counts continued streams that were refused since no router had recorded which
	// software version began them.
	unknownVersion tally.Counter
	// unfinishable counts requests that this router refused while it was stopping, since they could not be
	// expected to end before it had stopped.
	unfinishable tally.Counter
	// noPath counts requests that were refused because this router reached no upstream.
	noPath tally.Counter
	// lateBodies counts requests whose body did not arrive before their deadline.
	lateBodies tally.Counter
	// slowBodies counts requests whose body arrived more slowly than minBodyRate.
	slowBodies tally.Counter
	// bodiesWithoutRoom counts requests that were refused because there was no room for their body.
	bodiesWithoutRoom tally.Counter
	// brokenStreams counts upstreams' streams that ended before they were complete, by framing.
	brokenStreams map[eventstream.Framing]tally.Counter
	// malformed counts upstreams' responses that were malformed or exceeded a limit, by reason.
	malformed map[upstream.MalformedReason]tally.Counter
	// withheld counts requests that were placed by a home and then not sent, by reason.
	withheld  map[withheldReason]tally.Counter
	firstByte tally.Histogram
	placement tally.Histogram
}

func newStats(scope tally.Scope) *stats {
	s := &stats{
		requests:          scope.Counter("requests"),
		outcomes:          map[string]tally.Counter{},
		other:             scope.Tagged(map[string]string{"outcome": "other"}).Counter("answers"),
		refused:           scope.Counter("refusals"),
		quarantined:       scope.Counter("quarantined"),
		unknownVersion:    scope.Counter("unknown_version"),
		unfinishable:      scope.Counter("unfinishable"),
		noPath:            scope.Counter("no_path"),
		lateBodies:        scope.Counter("late_bodies"),
		slowBodies:        scope.Counter("slow_bodies"),
		bodiesWithoutRoom: scope.Counter("bodies_without_room"),
		brokenStreams:     map[eventstream.Framing]tally.Counter{},
		malformed:         map[upstream.MalformedReason]tally.Counter{},
		withheld:          map[withheldReason]tally.Counter{},
		firstByte:         scope.Histogram("first_byte_seconds", latencyBuckets),
		placement:         scope.Histogram("placing_seconds", latencyBuckets),
	}
	for _, name := range []string{"ran", "not-run", "unknown", "cancelled", "cut"} {
		s.outcomes[name] = scope.Tagged(map[string]string{"outcome": name}).Counter("answers")
	}
	for _, framing := range []eventstream.Framing{eventstream.NoBody, eventstream.Length, eventstream.Chunked, eventstream.Connection} {
		s.brokenStreams[framing] = scope.Tagged(map[string]string{"framing": framing.String()}).Counter("broken_streams")
	}
	for _, reason := range upstream.MalformedReasons {
		s.malformed[reason] = scope.Tagged(map[string]string{"reason": string(reason)}).Counter("malformed_responses")
	}
	for _, reason := range []withheldReason{withheldEvacuated, withheldWarming, withheldRegion, withheldVersion} {
		s.withheld[reason] = scope.Tagged(map[string]string{"reason": string(reason)}).Counter("withheld")
	}
	return s
}

// withheldReason is why a request was not sent to the upstream that its home had chosen.
type withheldReason string

const (
	withheldEvacuated withheldReason = "evacuated"
	withheldWarming   withheldReason = "warming"
	withheldRegion    withheldReason = "region"
	withheldVersion   withheldReason = "version"
)

// latencyBuckets are exponential buckets with factor 2 from 1 ms to 16 s.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 15)

func (s *stats) begin() { s.requests.Inc(1) }

func (s *stats) end(r *record, _ time.Duration) {
	counter, found := s.outcomes[r.outcome]
	if !found {
		counter = s.other
	}
	counter.Inc(1)
	if r.retryAfter > 0 {
		s.refused.Inc(1)
	}
	if r.firstByte > 0 {
		s.firstByte.RecordDuration(r.firstByte)
	}
	if r.placementTime > 0 {
		s.placement.RecordDuration(r.placementTime)
	}
}
