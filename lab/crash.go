package lab

import (
	"bytes"
	"fmt"
	"io"
	"time"

	"github.com/aspenswitch/aspenswitch/dispatch"
	"github.com/aspenswitch/aspenswitch/eventstream"
)

// CrashingPart is a prompt part on which engines crash when they would generate the first token.
// A crash interrupts all requests on the engine.
type CrashingPart struct {
	// Class and Session select the session whose prompts contain the part; Fraction of all requests
	// continue this session instead of their own.
	Class, Session int
	Fraction       float64
	// From is when the part starts to crash engines.
	From time.Duration
	// Restart is the time from a crash until the engine serves again, with an empty cache.
	Restart time.Duration
	// Framing is how interrupted streams end; with CutInEvent they end inside an event, otherwise
	// between two.
	Framing    eventstream.Framing
	CutInEvent bool
	// Disabled lets routers run without the quarantine, for comparison.
	Disabled bool
}

// CrashResult is what callers and engines observe of a CrashingPart.
type CrashResult struct {
	// Crashes counts crashes, Sent the requests with the part that engines received from then on.
	Crashes, Sent int
	// SentLate counts those that they received more than lateAfter after the crash with number
	// crashesBeforeLate.
	SentLate int
	// SeemComplete counts interrupted streams that were taken for complete, Interrupted those that
	// were not.
	SeemComplete, Interrupted int
	// Refused counts requests without the part that were refused since a part of theirs was in
	// quarantine, Others the requests without the part after the first crash.
	Refused, Others int
}

const (
	// crashesBeforeLate and lateAfter define which requests with the part are late: the crash from
	// which on the fleet must act, and the time that it may take.
	crashesBeforeLate = 5
	lateAfter         = 3 * time.Second
	// crashingStream is the random stream that draws the requests with the part.
	crashingStream = 3
	// maxSends limits how often a request is sent that gets no answer.
	maxSends = 2
	// maxUnreachable limits how often a request meets an engine that is down.
	maxUnreachable = 3
	// refusedConnectionDelay is the time until a router finds that an engine is down.
	refusedConnectionDelay = time.Millisecond
)

// crashState is the state of a simulated CrashingPart.
type crashState struct {
	*CrashingPart
	result      CrashResult
	quarantines []*routerQuarantine
	lateFrom    time.Duration
}

func (s *simulation) partID() uint64 {
	return uint64(s.crash.Class+1)<<40 | sessionPart | uint64(s.crash.Session)
}

// hasCrashingPart reports whether an engine would crash on the request now.
func (s *simulation) hasCrashingPart(parts []dispatch.Part) bool {
	if s.crash == nil || s.clock.now < s.crash.From {
		return false
	}
	for _, p := range parts {
		if p.ID == s.partID() {
			return true
		}
	}
	return false
}

// countSend counts a request that an engine receives.
func (s *simulation) countSend(r *request) {
	if !s.hasCrashingPart(r.parts) {
		return
	}
	s.crash.result.Sent++
	if s.crash.lateFrom > 0 && s.clock.now > s.crash.lateFrom {
		s.crash.result.SentLate++
	}
}

// countOther counts a request without the part that arrives after the first crash.
func (s *simulation) countOther(r *request) {
	if s.crash != nil && s.crash.result.Crashes > 0 && !s.hasCrashingPart(r.parts) {
		s.crash.result.Others++
	}
}

// crashed counts a crash and schedules the restart of the engine.
func (s *simulation) crashed(e *engine) {
	c := s.crash
	c.result.Crashes++
	if c.result.Crashes == crashesBeforeLate {
		c.lateFrom = s.clock.now + lateAfter
	}
	s.clock.after(c.Restart, e.restart)
}

// interrupted handles the end of a request whose engine has crashed.
func (s *simulation) interrupted(r *request, q *sequence) {
	if r.ended || r.engineSequence != q {
		return
	}
	if q.generated > 0 {
		s.streamEnded(r, q)
		return
	}
	s.policy.done(r, dispatch.Failed, s.clock.now-r.sentAt)
	s.reportCrash(r, q)
	s.resend(r)
}

// streamEnded handles the end of an interrupted stream, by what its router has received.
func (s *simulation) streamEnded(r *request, q *sequence) {
	r.ended = true
	var received eventstream.Scanner
	readAll(&received, q.stream(s.crash.CutInEvent, s.load.Sheet.Engine.Stride))
	if received.End(s.crash.Framing, s.streamEndCause()) == nil {
		s.crash.result.SeemComplete++
		s.policy.done(r, dispatch.Served, s.clock.now-r.sentAt)
	} else {
		s.crash.result.Interrupted++
		s.policy.done(r, dispatch.Failed, s.clock.now-r.sentAt)
	}
	s.finish(r, 0, &s.result.Failed)
}

// streamEndCause is the error with which the connection of an engine that has crashed ends: an
// answer by connection has no other end, others lack theirs.
func (s *simulation) streamEndCause() error {
	if s.crash.Framing == eventstream.Connection {
		return io.EOF
	}
	return io.ErrUnexpectedEOF
}

// unreachable handles a request whose engine is down.
func (s *simulation) unreachable(r *request, q *sequence) {
	if r.ended || r.engineSequence != q {
		return
	}
	s.policy.done(r, dispatch.Unreachable, s.clock.now-r.sentAt)
	r.engineSequence = nil
	r.unreachable++
	if r.unreachable < maxUnreachable {
		s.attempt(r)
		return
	}
	s.endTrial(r)
	r.ended = true
	s.finish(r, 0, &s.result.Failed)
}

// resend sends a request without an answer again.
func (s *simulation) resend(r *request) {
	r.sends++
	r.engineSequence, r.firstToken = nil, 0
	if r.sends >= maxSends {
		r.ended = true
		s.finish(r, 0, &s.result.Failed)
		return
	}
	s.attempt(r)
}

// stream returns the events that a sequence has generated, of stride tokens each.
func (q *sequence) stream(cutInEvent bool, stride int) []byte {
	var b bytes.Buffer
	for n := 1; n <= q.generated; n += stride {
		fmt.Fprintf(&b, "id: %d\ndata: token\n\n", n)
	}
	if cutInEvent {
		b.WriteString("data: tok")
	}
	return b.Bytes()
}

func readAll(s *eventstream.Scanner, data []byte) {
	for len(data) > 0 {
		n, _ := s.Next(data)
		data = data[n:]
	}
}
