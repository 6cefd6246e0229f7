package load

import (
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Outcome is what a caller made of one request, all its tries together.
type Outcome string

// Outcomes of a request.
const (
	Answered Outcome = "answered"
	NotRun   Outcome = "not-run"
	Unknown  Outcome = "unknown"
	// Wrong answers are not those asked for: a fault of the router.
	Wrong Outcome = "wrong"
)

// TeamResult is one team's row.
type TeamResult struct {
	Name       string            `json:"name"`
	Share      float64           `json:"share"`
	Requests   int               `json:"asked"`
	Outcomes   map[Outcome]int   `json:"outcomes"`
	Retries    int               `json:"retries"`
	Service    float64           `json:"serviceSeconds"`
	Latencies  []time.Duration   `json:"-"`
	LatencyP50 time.Duration     `json:"firstP50"`
	LatencyP99 time.Duration     `json:"firstP99"`
	Violations []string          `json:"faults,omitempty"`
	keys       map[string]string // by key: the last outcome told
}

// Result is a run's whole report.
type Result struct {
	mu                    sync.Mutex
	Teams                 []*TeamResult `json:"teams"`
	Seconds               float64       `json:"seconds"`
	FairnessGap           float64       `json:"fairnessGapSeconds"`
	ControlBytesPerSecond float64       `json:"controlBytesPerNodePerSecond"`
	RepeatedRuns          []string      `json:"doubled,omitempty"`
	FalseNotRun           []string      `json:"notRunThatRan,omitempty"`
}

func newResult(p *Plan) *Result {
	r := &Result{}
	for _, t := range p.Teams {
		r.Teams = append(r.Teams, &TeamResult{
			Name: t.Name, Share: t.Share, Outcomes: map[Outcome]int{}, keys: map[string]string{},
		})
	}
	return r
}

// add notes the end of one request.
func (r *Result) add(team int, a attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.Teams[team]
	t.Requests++
	t.Outcomes[a.outcome]++
	t.Retries += a.retries
	if a.outcome == Answered {
		t.Latencies = append(t.Latencies, a.first)
	}
	if a.key != "" {
		t.keys[a.key] = string(a.outcome)
	}
	if a.fault != "" {
		t.Violations = append(t.Violations, a.fault)
	}
}

const (
	maxLatencyMicros = int64(10 * time.Minute / time.Microsecond)
	significant      = 3
)

func (t *TeamResult) summarise() {
	h := hdrhistogram.New(1, maxLatencyMicros, significant)
	for _, d := range t.Latencies {
		_ = h.RecordValue(max(d.Microseconds(), 1))
	}
	t.LatencyP50 = time.Duration(h.ValueAtQuantile(50)) * time.Microsecond
	t.LatencyP99 = time.Duration(h.ValueAtQuantile(99)) * time.Microsecond
}

// Violations lists everything that must not be.
func (r *Result) Violations() []string {
	var all []string
	for _, t := range r.Teams {
		for _, f := range t.Violations {
			all = append(all, t.Name+": "+f)
		}
		if lost := t.Requests - sum(t.Outcomes); lost != 0 {
			all = append(all, t.Name+": requests without an outcome")
		}
	}
	for _, key := range r.RepeatedRuns {
		all = append(all, "ran more than once: "+key)
	}
	for _, key := range r.FalseNotRun {
		all = append(all, "told not-run, but ran: "+key)
	}
	slices.Sort(all)
	return all
}

func sum(m map[Outcome]int) int {
	n := 0
	for _, v := range m {
		n += v
	}
	return n
}
