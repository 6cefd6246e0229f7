package standin

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// RunnerFault is how a Runner misbehaves.
type RunnerFault uint8

// Faults of a runner.
const (
	// RunnerHealthy answers as it should.
	RunnerHealthy RunnerFault = iota
	// RunnerFull rejects requests and says that it didn't run them.
	RunnerFull
	// RunnerServerError runs requests and answers 500.
	RunnerServerError
	// RunnerDroppedResponse runs requests and loses the answers.
	RunnerDroppedResponse
	// RunnerDuplicateResponse sends each answer twice.
	RunnerDuplicateResponse
	// RunnerStaleResponse sends the last request's answer once more before each answer.
	RunnerStaleResponse
	// RunnerMalformedResponse sends bytes that are no answer.
	RunnerMalformedResponse
	// RunnerTruncatedResponse announces more than it sends.
	RunnerTruncatedResponse
	// RunnerNoContentLength sends answers without a length, which end with the connection.
	RunnerNoContentLength
	// RunnerUnresponsive takes requests and says nothing.
	RunnerUnresponsive
	// RunnerMissingSeal leaves the seal out.
	RunnerMissingSeal
)

// RunnerHeaders are the headers that a Runner reads and writes.
type RunnerHeaders struct{ RequestID, Instance, Seal, NotRun, Leaving string }

// Paths and headers of a runner's health answers.
const (
	runnerHealthPath     = "/health"
	runnerHealthInstance = "X-Aspenswitch-Instance-Id"
	runnerHealthWarmUp   = "X-Aspenswitch-Cold-Ms"
)

// RunnerOptions say how a Runner works. The zero value answers at once.
type RunnerOptions struct {
	// Work is what a request takes; nil is nothing.
	Work func(*http.Request) Work
	// OnStart is told that a request begins to run, and what it returns is told
	// the end; gone is set if the connection ended before the answer was whole.
	OnStart func(id string) (ended func(gone bool))
	// ShouldCrash reports whether the runner crashes after working on a request; nil means
	// never.
	ShouldCrash func(*http.Request) bool
	// OnReject is called for each request rejected with a Retry-After delay of rest; may be nil.
	OnReject func(id string, rest time.Duration)
	// Address is where it listens, a free port of loopback if empty. A runner that
	// starts again under its name has the address that it had.
	Address string
	// FaultEvery is how often a fault comes: at each of so many requests; 0 is
	// every one.
	FaultEvery int
}

// Work is what a request takes.
type Work struct {
	// ProcessingTime is the time to the answer, or to the first event.
	ProcessingTime time.Duration
	// Events is the number of events of a stream; 0 is a plain answer. A caller
	// that names the last event it has gets those after it.
	Events int
	// EventInterval is the time between two events.
	EventInterval time.Duration
}

// Runner is an upstream that answers the way the platform's upstreams do, and
// misbehaves on request. It counts what it ran by the requests' ids.
type Runner struct {
	id       string
	names    RunnerHeaders
	opts     RunnerOptions
	fault    atomic.Uint32
	leaving  atomic.Bool
	rest     atomic.Int64
	requests atomic.Int64
	rejected atomic.Int64
	l        net.Listener
	mu       sync.Mutex
	ran      map[string]int
	conns    map[net.Conn]struct{}
	crashed  bool
	warmUp   warmUp
}

// NewRunner listens.
func NewRunner(id string, names RunnerHeaders, opts RunnerOptions) (*Runner, error) {
	address := opts.Address
	if address == "" {
		address = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	r := &Runner{id: id, names: names, opts: opts, l: l, ran: map[string]int{}, conns: map[net.Conn]struct{}{}}
	go r.accept()
	return r, nil
}

// Address is where the runner listens.
func (r *Runner) Address() string { return r.l.Addr().String() }

// SetFault makes it misbehave from the next request on.
func (r *Runner) SetFault(f RunnerFault) { r.fault.Store(uint32(f)) }

// SetLeaving sets whether answers carry the leaving notice.
func (r *Runner) SetLeaving(leaving bool) { r.leaving.Store(leaving) }

// SetRetryAfter makes the runner reject requests with a 503 and rest as the Retry-After delay; 0 disables it.
func (r *Runner) SetRetryAfter(rest time.Duration) { r.rest.Store(int64(rest)) }

// Rejected returns the number of requests rejected without being run.
func (r *Runner) Rejected() int { return int(r.rejected.Load()) }

// RunCount is how often a request ran here.
func (r *Runner) RunCount(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ran[id]
}

// TotalRuns is how many requests ran here.
func (r *Runner) TotalRuns() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, times := range r.ran {
		n += times
	}
	return n
}

// Close ends the listener; open connections go on.
func (r *Runner) Close() error { return r.l.Close() }

// Crash ends the listener and breaks all connections.
func (r *Runner) Crash() {
	_ = r.l.Close() // it may be closed already
	r.mu.Lock()
	defer r.mu.Unlock()
	r.crashed = true
	for c := range r.conns {
		abort(c)
	}
}

func (r *Runner) accept() {
	for {
		c, err := r.l.Accept()
		if err != nil {
			return // closed
		}
		go r.serve(c)
	}
}

// keep notes a connection; it returns false if the runner has crashed.
func (r *Runner) keep(c net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.conns[c] = struct{}{}
	return !r.crashed
}

func (r *Runner) drop(c net.Conn) {
	_ = c.Close() // the caller may have ended it
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, c)
}

// serve answers the requests of a connection until one ends it.
func (r *Runner) serve(c net.Conn) {
	defer r.drop(c)
	if !r.keep(c) {
		return
	}
	in := bufio.NewReader(c)
	last := ""
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		if !r.handle(c, in, req, last) {
			return
		}
		last = r.whole(req.Header.Get(r.names.RequestID))
	}
}

// handle answers one request and reports whether the connection goes on.
func (r *Runner) handle(c net.Conn, in *bufio.Reader, req *http.Request, last string) bool {
	id, fault := req.Header.Get(r.names.RequestID), r.nextFault()
	if raw := r.reject(req, fault); raw != "" {
		r.rejected.Add(1)
		_, err := io.WriteString(c, raw)
		return err == nil
	}
	if req.URL.Path == runnerHealthPath {
		left := strconv.FormatInt(r.WarmUpLeft().Milliseconds(), 10)
		_, err := io.WriteString(c, r.head(http.StatusOK, id, runnerHealthInstance+": "+r.id, runnerHealthWarmUp+": "+left, "Content-Length: 0"))
		return err == nil
	}
	if r.warmUp.overloaded(time.Now()) {
		r.Crash()
		return false
	}
	r.mu.Lock()
	r.ran[id]++
	r.mu.Unlock()
	ended := func(bool) {}
	if r.opts.OnStart != nil {
		ended = r.opts.OnStart(id)
	}
	next := afterAnswer(in)
	var work Work
	if r.opts.Work != nil {
		work = r.opts.Work(req)
	}
	if r.opts.ShouldCrash != nil && r.opts.ShouldCrash(req) {
		_ = waitOrGone(work.ProcessingTime, next) // crashes even if the caller has gone
		r.Crash()
		ended(true)
		return false
	}
	keep := r.run(c, req, next, work, fault, last)
	ended(!keep)
	return keep && <-next == nil
}

// nextFault is the fault that the next request meets.
func (r *Runner) nextFault() RunnerFault {
	n := r.requests.Add(1)
	if every := int64(r.opts.FaultEvery); every > 1 && n%every != 0 {
		return RunnerHealthy
	}
	return RunnerFault(r.fault.Load())
}

// afterAnswer tells when the caller sends on, with nil, or ends the connection.
func afterAnswer(in *bufio.Reader) <-chan error {
	next := make(chan error, 1)
	go func() {
		_, err := in.Peek(1)
		next <- err
	}()
	return next
}

// reject is the answer to a request that isn't run, empty if it is.
func (r *Runner) reject(req *http.Request, fault RunnerFault) string {
	id := req.Header.Get(r.names.RequestID)
	if meant := req.Header.Get(r.names.Instance); meant != "" && meant != r.id {
		return r.head(http.StatusMisdirectedRequest, id, "Content-Length: 0")
	}
	if rest := time.Duration(r.rest.Load()); rest > 0 {
		if r.opts.OnReject != nil {
			r.opts.OnReject(id, rest)
		}
		seconds := strconv.FormatFloat(rest.Seconds(), 'f', -1, 64)
		return r.head(http.StatusServiceUnavailable, id, r.names.NotRun+": 1", "Retry-After: "+seconds, "Content-Length: 0")
	}
	if fault == RunnerFull {
		return r.head(http.StatusServiceUnavailable, id, r.names.NotRun+": 1", "Content-Length: 0")
	}
	return ""
}

// abort ends a connection with a reset.
func abort(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // an ended socket has nothing to reset
	}
	_ = c.Close()
}
