package soak

import (
	"net/http"
	"slices"
	"sync"
	"time"
)

// History is what callers and upstreams saw and what was done to the fleet. All
// times are counted from the start of the run.
type History struct {
	Requests       []Request       `json:"requests"`
	Runs           []Run           `json:"runs"`
	FaultIntervals []FaultInterval `json:"disturbances"`
	RevokedKeys    []Change        `json:"keysGone"`
	Departures     []Change        `json:"departures"`
	RouteMoves     []Change        `json:"moves"`
	RouteAdditions []Change        `json:"additions"`
	Exits          []Exit          `json:"exits"`
	Crashes        []Crash         `json:"crashes"`
	Rejections     []Rejection     `json:"rejections"`
	// WarmUps are by upstream, Evacuations by failure domain.
	WarmUps     []Span `json:"warmUps"`
	Evacuations []Span `json:"evacuations"`
}

// Request is one request of a caller.
type Request struct {
	ID          string      `json:"id"`
	Kind        RequestKind `json:"kind"`
	Prefix      string      `json:"prefix"`
	Key         string      `json:"key"`
	Router      int         `json:"router"`
	Incarnation int         `json:"incarnation"`
	// Content is the part of the path that identifies the content of a crashing request.
	Content string `json:"content,omitempty"`
	// Sent is when the last byte was written, Ended when the answer or the
	// connection ended.
	Sent  time.Duration `json:"sent"`
	Ended time.Duration `json:"ended"`
	// Status is 0 if no answer began.
	Status int `json:"status"`
	// Complete is set if the answer came to its end.
	Complete bool `json:"whole"`
	// Abandoned is set if the caller closed the connection before the answer's end.
	Abandoned bool `json:"left"`
	// LeavingNotice is set if the answer carried a leaving notice.
	LeavingNotice bool `json:"notice,omitempty"`
	// Quarantined is set if the router rejected the request for its content.
	Quarantined bool `json:"quarantined,omitempty"`
	// Defect says what is wrong with an answer.
	Defect string `json:"wrong,omitempty"`
}

// served reports whether a request got its whole answer.
func (r Request) served() bool { return r.Complete && r.Status == http.StatusOK }

// uri returns the path of the request.
func (r Request) uri() string {
	if r.Kind == Crashing {
		return r.Prefix + crashPathPrefix + r.Content
	}
	return r.Prefix + "1"
}

// Run is one run of a request at an upstream.
type Run struct {
	Request  string        `json:"request"`
	Upstream string        `json:"upstream"`
	Service  string        `json:"service"`
	Began    time.Duration `json:"began"`
	Ended    time.Duration `json:"ended"`
	// Cancelled is set if the connection ended before the answer was whole.
	Cancelled bool `json:"cancelled"`
}

// Crash is a crash of an upstream caused by a request.
type Crash struct {
	URI      string        `json:"uri"`
	Upstream string        `json:"upstream"`
	At       time.Duration `json:"at"`
}

// Rejection is a request that an upstream rejected with a Retry-After of Rest.
type Rejection struct {
	Request    string        `json:"request"`
	Upstream   string        `json:"upstream"`
	At         time.Duration `json:"at"`
	RetryAfter time.Duration `json:"rest"`
}

// FaultInterval is a fault while it was in force, and a while after, as long as its
// traces last.
type FaultInterval struct {
	Kind   FaultKind     `json:"kind"`
	Target int           `json:"target"`
	From   time.Duration `json:"from"`
	To     time.Duration `json:"to"`
}

// Change is something that the store acknowledged at a moment: a key taken away,
// an upstream leaving, a route moved to a service or added.
type Change struct {
	Name string        `json:"name"`
	At   time.Duration `json:"at"`
}

// Exit is an end of a router's process that nobody ordered, or one that took
// longer than the grace.
type Exit struct {
	Router int           `json:"router"`
	At     time.Duration `json:"at"`
	Reason string        `json:"how"`
}

// Recorder collects a History from many goroutines.
type Recorder struct {
	start time.Time
	mu    sync.Mutex
	h     History
}

// NewRecorder starts the run's clock.
func NewRecorder() *Recorder { return &Recorder{start: time.Now()} }

// Now is the time since the start.
func (r *Recorder) Now() time.Duration { return time.Since(r.start) }

// Add notes something.
func (r *Recorder) Add(note func(*History)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	note(&r.h)
}

// Began notes a run; the function returned notes its end.
func (r *Recorder) Began(request, upstream, service string) (ended func(gone bool)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	at := len(r.h.Runs)
	r.h.Runs = append(r.h.Runs, Run{Request: request, Upstream: upstream, Service: service, Began: r.Now()})
	return func(gone bool) {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.h.Runs[at].Ended, r.h.Runs[at].Cancelled = r.Now(), gone
	}
}

// History returns the events recorded so far. Runs is cloned because upstreams may still
// record the end of a run after its caller has given up; the other slices are shared with
// the recorder.
func (r *Recorder) History() *History {
	r.mu.Lock()
	defer r.mu.Unlock()
	h := r.h
	h.Runs = slices.Clone(h.Runs)
	return &h
}
