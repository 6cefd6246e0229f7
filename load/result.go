package load

import (
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Outcome is the outcome of one request after its last attempt.
type Outcome string

// The outcomes of a request.
const (
	Answered Outcome = "answered"
	NotRun   Outcome = "not-run"
	Unknown  Outcome = "unknown"
	// Wrong is a response that does not match its request: a fault of the router.
	Wrong Outcome = "wrong"
)

// TeamResult holds the results of one team.
type TeamResult struct {
	Name     string          `json:"name"`
	Share    float64         `json:"share"`
	Requests int             `json:"asked"`
	Outcomes map[Outcome]int `json:"outcomes"`
	Retries  int             `json:"retries"`
	// Service is the fleet's slot time for the team, in seconds.
	Service float64 `json:"serviceSeconds"`
	// Latencies of answered requests run from the first attempt to the first event of a
	// stream, or to the end of any other response.
	Latencies  []time.Duration `json:"-"`
	LatencyP50 time.Duration   `json:"firstP50"`
	LatencyP99 time.Duration   `json:"firstP99"`
	Violations []string        `json:"faults,omitempty"`
	// outcomeByKey holds the final outcome of each request by its idempotency key.
	outcomeByKey map[string]string
}

// Result is the complete report of a run.
type Result struct {
	mu      sync.Mutex
	Teams   []*TeamResult `json:"teams"`
	Seconds float64       `json:"seconds"`
	// FairnessGap is the largest difference in service plus lift, in slot seconds per share,
	// between teams with waiting requests in the same pool.
	FairnessGap float64 `json:"fairnessGapSeconds"`
	// ControlBytesPerSecond is the mean rate at which a router sends to its peers.
	ControlBytesPerSecond float64 `json:"controlBytesPerNodePerSecond"`
	// RepeatedRuns lists the keys that ran more than once, FalseNotRun those that ran
	// although the caller received the outcome NotRun.
	RepeatedRuns []string `json:"doubled,omitempty"`
	FalseNotRun  []string `json:"notRunThatRan,omitempty"`
}

func newResult(p *Plan) *Result {
	r := &Result{}
	for _, t := range p.Teams {
		r.Teams = append(r.Teams, &TeamResult{
			Name: t.Name, Share: t.Share, Outcomes: map[Outcome]int{}, outcomeByKey: map[string]string{},
		})
	}
	return r
}

// add records the result of one request.
func (r *Result) add(team int, res requestResult) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.Teams[team]
	t.Requests++
	t.Outcomes[res.outcome]++
	t.Retries += res.retries
	if res.outcome == Answered {
		t.Latencies = append(t.Latencies, res.latency)
	}
	if res.key != "" {
		t.outcomeByKey[res.key] = string(res.outcome)
	}
	if res.violation != "" {
		t.Violations = append(t.Violations, res.violation)
	}
}

// Range and precision of the latency histogram; longer latencies are not recorded.
const (
	maxLatencyMicros  = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 3
)

func (t *TeamResult) summarize() {
	h := hdrhistogram.New(1, maxLatencyMicros, significantDigits)
	for _, d := range t.Latencies {
		_ = h.RecordValue(max(d.Microseconds(), 1))
	}
	t.LatencyP50 = time.Duration(h.ValueAtQuantile(50)) * time.Microsecond
	t.LatencyP99 = time.Duration(h.ValueAtQuantile(99)) * time.Microsecond
}

// Violations returns a sorted list of everything that must not happen: wrong responses,
// requests without an outcome, repeated runs, and runs that were reported as not run.
func (r *Result) Violations() []string {
	var all []string
	for _, t := range r.Teams {
		for _, violation := range t.Violations {
			all = append(all, t.Name+": "+violation)
		}
		if missing := t.Requests - totalCount(t.Outcomes); missing != 0 {
			all = append(all, t.Name+": requests without an outcome")
		}
	}
	for _, key := range r.RepeatedRuns {
		all = append(all, "ran more than once: "+key)
	}
	for _, key := range r.FalseNotRun {
		all = append(all, "reported as not-run, but ran: "+key)
	}
	slices.Sort(all)
	return all
}

func totalCount(m map[Outcome]int) int {
	n := 0
	for _, v := range m {
		n += v
	}
	return n
}
