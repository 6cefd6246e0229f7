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
	Name     string            `json:"name"`
	Share    float64           `json:"share"`
	Asked    int               `json:"asked"`
	Outcomes map[Outcome]int   `json:"outcomes"`
	Retries  int               `json:"retries"`
	Service  float64           `json:"serviceSeconds"`
	First    []time.Duration   `json:"-"`
	FirstP50 time.Duration     `json:"firstP50"`
	FirstP99 time.Duration     `json:"firstP99"`
	Faults   []string          `json:"faults,omitempty"`
	keys     map[string]string // by key: the last outcome told
}

// Result is a run's whole report.
type Result struct {
	mu           sync.Mutex
	Teams        []*TeamResult `json:"teams"`
	Seconds      float64       `json:"seconds"`
	Gap          float64       `json:"fairnessGapSeconds"`
	ControlBytes float64       `json:"controlBytesPerNodePerSecond"`
	Doubled      []string      `json:"doubled,omitempty"`
	Untrue       []string      `json:"notRunThatRan,omitempty"`
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
	t.Asked++
	t.Outcomes[a.outcome]++
	t.Retries += a.retries
	if a.outcome == Answered {
		t.First = append(t.First, a.first)
	}
	if a.key != "" {
		t.keys[a.key] = string(a.outcome)
	}
	if a.fault != "" {
		t.Faults = append(t.Faults, a.fault)
	}
}

const (
	maxLatencyMicros = int64(10 * time.Minute / time.Microsecond)
	significant      = 3
)

func (t *TeamResult) summarise() {
	h := hdrhistogram.New(1, maxLatencyMicros, significant)
	for _, d := range t.First {
		_ = h.RecordValue(max(d.Microseconds(), 1))
	}
	t.FirstP50 = time.Duration(h.ValueAtQuantile(50)) * time.Microsecond
	t.FirstP99 = time.Duration(h.ValueAtQuantile(99)) * time.Microsecond
}

// Faults lists everything that must not be.
func (r *Result) Faults() []string {
	var all []string
	for _, t := range r.Teams {
		for _, f := range t.Faults {
			all = append(all, t.Name+": "+f)
		}
		if lost := t.Asked - sum(t.Outcomes); lost != 0 {
			all = append(all, t.Name+": requests without an outcome")
		}
	}
	for _, key := range r.Doubled {
		all = append(all, "ran more than once: "+key)
	}
	for _, key := range r.Untrue {
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
