package gateway

import (
	"bytes"
	"io"
	"net/http"
	"strconv"

	"github.com/aspenswitch/aspenswitch/headers"
	"github.com/aspenswitch/aspenswitch/routing"
	"github.com/aspenswitch/aspenswitch/upstream"
)

// relay writes an answer to the caller. An answer that goes on at a second
// upstream keeps the first one's head.
type relay struct {
	w         http.ResponseWriter
	resumable bool
	// started is set once anything has been written.
	started bool
	// callerGone is set if the caller can't be written to.
	callerGone bool
	// lastID is that of the last whole event passed on; the stream goes on
	// after it.
	lastID string
	// tail is the part of an event whose end hasn't come.
	tail []byte
}

func newRelay(w http.ResponseWriter, route *routing.Route) *relay {
	return &relay{w: w, resumable: route.Kind == routing.Streaming && route.Resumable}
}

// head writes the status and headers of the first upstream that answers.
func (l *relay) head(a *upstream.Response) {
	if l.started {
		return
	}
	l.started = true
	headers.RemoveHopByHop(a.Header)
	h := l.w.Header()
	for name, values := range a.Header {
		h[name] = values
	}
	if a.BodyLength >= 0 {
		h.Set("Content-Length", strconv.FormatInt(a.BodyLength, 10))
	}
	l.w.WriteHeader(a.Status)
}

// rest writes a body of which the beginning has been read.
func (l *relay) rest(begin []byte, a *upstream.Response) error {
	if _, err := l.w.Write(begin); err != nil {
		l.callerGone = true
		return err
	}
	if a.Complete() {
		return nil
	}
	buf := make([]byte, 16<<10)
	for {
		n, err := a.Read(buf)
		if n > 0 {
			if _, werr := l.w.Write(buf[:n]); werr != nil {
				l.callerGone = true
				return werr
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// eventBuffer holds what one read returns: several events.
const eventBuffer = 2 << 10

// events passes a stream on until its end. It returns nil if the end came.
func (l *relay) events(a *upstream.Response, begun func()) error {
	l.tail = l.tail[:0]
	buf := make([]byte, eventBuffer)
	first := true
	for {
		n, err := a.Read(buf)
		if n > 0 {
			if first {
				first = false
				begun()
			}
			if werr := l.pass(a, buf[:n]); werr != nil {
				return werr
			}
		}
		if err == io.EOF {
			return l.end(a)
		}
		if err != nil {
			return err
		}
	}
}

// end writes what is left when the stream is over.
func (l *relay) end(a *upstream.Response) error {
	l.head(a)
	if len(l.tail) == 0 {
		return nil
	}
	return l.write(l.tail)
}

// pass writes what has come. Of a stream that may go on elsewhere only whole
// events are written: an upstream may stop in the middle of one, and the next
// begins with a whole event.
func (l *relay) pass(a *upstream.Response, got []byte) error {
	if !l.resumable {
		l.head(a)
		return l.write(got)
	}
	l.tail = append(l.tail, got...)
	whole := lastEventEnd(l.tail)
	if whole == 0 {
		return nil
	}
	ready := l.skipSeen(l.tail[:whole])
	if id := lastEventID(ready); id != "" {
		l.lastID = id
	}
	l.head(a)
	err := l.write(ready)
	l.tail = append(l.tail[:0], l.tail[whole:]...)
	return err
}

func (l *relay) write(b []byte) error {
	if len(b) == 0 {
		return nil
	}
	if _, err := l.w.Write(b); err != nil {
		l.callerGone = true
		return err
	}
	if err := http.NewResponseController(l.w).Flush(); err != nil {
		l.callerGone = true
		return err
	}
	return nil
}

var eventEnd = []byte("\n\n")

// lastEventEnd is the length of the whole events that b begins with.
func lastEventEnd(b []byte) int {
	at := bytes.LastIndex(b, eventEnd)
	if at < 0 {
		return 0
	}
	return at + len(eventEnd)
}

var idField = []byte("id:")

// lastEventID is the id of the last event in b that has one.
func lastEventID(b []byte) string {
	id := ""
	for line := range bytes.SplitSeq(b, []byte("\n")) {
		if value, found := bytes.CutPrefix(line, idField); found {
			id = string(bytes.TrimSpace(value))
		}
	}
	return id
}

// skipSeen leaves out events that the caller has: an upstream that goes on may
// begin too early, and an event must not come twice.
func (l *relay) skipSeen(events []byte) []byte {
	last, err := strconv.ParseInt(l.lastID, 10, 64)
	if err != nil {
		return events
	}
	for len(events) > 0 {
		end := bytes.Index(events, eventEnd) + len(eventEnd)
		id, err := strconv.ParseInt(lastEventID(events[:end]), 10, 64)
		if err != nil || id > last {
			return events
		}
		events = events[end:]
	}
	return events
}
