package standin

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
)

// RunnerFault is how a Runner misbehaves.
type RunnerFault uint8

// Faults of a runner.
const (
	// RunnerWell answers as it should.
	RunnerWell RunnerFault = iota
	// RunnerFull rejects requests and says that it didn't run them.
	RunnerFull
	// RunnerFailing runs requests and answers 500.
	RunnerFailing
	// RunnerLosing runs requests and loses the answers.
	RunnerLosing
	// RunnerExtra sends each answer twice.
	RunnerExtra
	// RunnerLate sends the last request's answer once more before each answer.
	RunnerLate
	// RunnerGarbled sends bytes that are no answer.
	RunnerGarbled
	// RunnerCut announces more than it sends.
	RunnerCut
	// RunnerUnframed sends answers without a length, which end with the connection.
	RunnerUnframed
	// RunnerMute takes requests and says nothing.
	RunnerMute
	// RunnerUnsealed leaves the seal out.
	RunnerUnsealed
)

// RunnerNames are the headers that a Runner reads and writes.
type RunnerNames struct{ RequestID, Instance, Seal, NotRun string }

// Runner is an upstream that answers the way the platform's upstreams do, and
// misbehaves on request. It counts what it ran by the requests' ids.
type Runner struct {
	id    string
	names RunnerNames
	fault atomic.Uint32
	l     net.Listener
	mu    sync.Mutex
	ran   map[string]int
}

// NewRunner listens on a free port of loopback.
func NewRunner(id string, names RunnerNames) (*Runner, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Runner{id: id, names: names, l: l, ran: map[string]int{}}
	go r.accept()
	return r, nil
}

// Address is where the runner listens.
func (r *Runner) Address() string { return r.l.Addr().String() }

// SetFault makes it misbehave from the next request on.
func (r *Runner) SetFault(f RunnerFault) { r.fault.Store(uint32(f)) }

// Ran is how often a request ran here.
func (r *Runner) Ran(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ran[id]
}

// Total is how many requests ran here.
func (r *Runner) Total() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, times := range r.ran {
		n += times
	}
	return n
}

// Close ends the listener.
func (r *Runner) Close() error { return r.l.Close() }

func (r *Runner) accept() {
	for {
		c, err := r.l.Accept()
		if err != nil {
			return // closed
		}
		go r.serve(c)
	}
}

// serve answers the requests of a connection until one ends it.
func (r *Runner) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
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
		raw, keep := r.answer(req, last)
		if _, err := io.WriteString(c, raw); err != nil || !keep {
			return
		}
		last = r.whole(req.Header.Get(r.names.RequestID))
	}
}

// answer returns the bytes to send and whether the connection goes on.
func (r *Runner) answer(req *http.Request, last string) (raw string, keep bool) {
	id := req.Header.Get(r.names.RequestID)
	if meant := req.Header.Get(r.names.Instance); meant != "" && meant != r.id {
		return r.head(http.StatusMisdirectedRequest, id, "Content-Length: 0"), true
	}
	fault := RunnerFault(r.fault.Load())
	if fault == RunnerFull {
		return r.head(http.StatusServiceUnavailable, id, r.names.NotRun+": 1", "Content-Length: 0"), true
	}
	r.mu.Lock()
	r.ran[id]++
	r.mu.Unlock()
	switch fault {
	case RunnerFailing:
		return r.head(http.StatusInternalServerError, id, r.names.Seal+": seal", "Content-Length: 0"), true
	case RunnerLosing:
		return "", false
	case RunnerExtra:
		return r.whole(id) + r.whole(id), true
	case RunnerLate:
		return last + r.whole(id), true
	case RunnerGarbled:
		return "\x00\xffnothing of the kind\r\n\r\n", false
	case RunnerCut:
		return r.head(http.StatusOK, id, r.names.Seal+": seal", "Content-Length: 100") + "half", false
	case RunnerUnframed:
		return r.head(http.StatusOK, id, r.names.Seal+": seal", "Connection: close") + r.body(id), false
	case RunnerMute:
		return "", true
	case RunnerUnsealed:
		return r.head(http.StatusOK, id, "Content-Length: 0"), true
	case RunnerWell, RunnerFull:
	}
	return r.whole(id), true
}

func (r *Runner) body(id string) string { return r.id + " ran " + id }

func (r *Runner) whole(id string) string {
	body := r.body(id)
	return r.head(http.StatusOK, id, r.names.Seal+": seal", fmt.Sprintf("Content-Length: %d", len(body))) + body
}

func (r *Runner) head(status int, id string, lines ...string) string {
	head := fmt.Sprintf("HTTP/1.1 %d %s\r\n%s: %s\r\n", status, http.StatusText(status), r.names.RequestID, id)
	return head + strings.Join(lines, "\r\n") + "\r\n\r\n"
}
