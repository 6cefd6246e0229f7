package gateway

import (
	"time"

	"github.com/uber-go/tally/v4"
)

// stats are the gateway's counters and latency histograms.
type stats struct {
	requests tally.Counter
	outcomes map[string]tally.Counter
	other    tally.Counter
	refused  tally.Counter
	// quarantined counts requests that were rejected because their content is in quarantine.
	quarantined tally.Counter
	// withheld counts requests that a home had placed and that were not sent, by reason.
	withheld map[withheldReason]tally.Counter
	first    tally.Histogram
	placing  tally.Histogram
}

func newStats(scope tally.Scope) *stats {
	s := &stats{
		requests:    scope.Counter("requests"),
		outcomes:    map[string]tally.Counter{},
		other:       scope.Tagged(map[string]string{"outcome": "other"}).Counter("answers"),
		refused:     scope.Counter("refusals"),
		quarantined: scope.Counter("quarantined"),
		withheld:    map[withheldReason]tally.Counter{},
		first:       scope.Histogram("first_byte_seconds", latencies),
		placing:     scope.Histogram("placing_seconds", latencies),
	}
	for _, name := range []string{"ran", "not-run", "unknown", "cancelled", "cut"} {
		s.outcomes[name] = scope.Tagged(map[string]string{"outcome": name}).Counter("answers")
	}
	for _, reason := range []withheldReason{withheldEvacuated, withheldWarming, withheldRegion} {
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
)

// latencies are the histograms' buckets: 1 ms to 16 s, doubling.
var latencies = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 15)

func (s *stats) begin() { s.requests.Inc(1) }

func (s *stats) end(r *record, _ time.Duration) {
	counter, known := s.outcomes[r.outcome]
	if !known {
		counter = s.other
	}
	counter.Inc(1)
	if r.retryAfter > 0 {
		s.refused.Inc(1)
	}
	if r.first > 0 {
		s.first.RecordDuration(r.first)
	}
	if r.placed > 0 {
		s.placing.RecordDuration(r.placed)
	}
}
