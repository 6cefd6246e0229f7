package gateway

import (
	"bytes"
	"io"
	"net/http"
	"strconv"

	"github.com/aspenswitch/aspenswitch/eventstream"
	"github.com/aspenswitch/aspenswitch/headers"
	"github.com/aspenswitch/aspenswitch/routing"
	"github.com/aspenswitch/aspenswitch/upstream"
)

// relay writes a response to the caller. A stream that is resumed at a second upstream keeps
// the status and headers of the first one.
type relay struct {
	w         http.ResponseWriter
	resumable bool
	// started is set once the status and headers have been written.
	started bool
	// onStart, if not nil, is called before the status and headers are written.
	onStart func()
	// callerDisconnected is set if writing to the caller failed.
	callerDisconnected bool
	// lastID is the ID of the last complete event that was forwarded; the stream is
	// resumed after it.
	lastID string
	// partial is the received part of an incomplete event.
	partial []byte
	// scanner is the position within the stream of the current upstream.
	scanner eventstream.Scanner
}

func newRelay(w http.ResponseWriter, route *routing.Route) *relay {
	return &relay{w: w, resumable: route.Kind == routing.Streaming && route.Resumable}
}

// writeHeader writes the status and headers of the first upstream that responds. Later calls
// have no effect.
func (l *relay) writeHeader(a *upstream.Response) {
	if l.started {
		return
	}
	l.started = true
	if l.onStart != nil {
		l.onStart()
	}
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

// writeBody writes a body whose first bytes, prefix, have already been read.
func (l *relay) writeBody(prefix []byte, a *upstream.Response) error {
	if _, err := l.w.Write(prefix); err != nil {
		l.callerDisconnected = true
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
				l.callerDisconnected = true
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

// eventBufferBytes is the size of the read buffer: several events.
const eventBufferBytes = 2 << 10

// relayEvents forwards a stream. It returns nil if the stream has ended normally.
// onFirstByte is called when the first bytes of the body arrive.
func (l *relay) relayEvents(a *upstream.Response, onFirstByte func()) error {
	l.partial, l.scanner = l.partial[:0], eventstream.Scanner{}
	buf := make([]byte, eventBufferBytes)
	first := true
	for {
		n, err := a.Read(buf)
		if n > 0 {
			if first {
				first = false
				onFirstByte()
			}
			l.scan(buf[:n])
			if werr := l.forward(a, buf[:n]); werr != nil {
				return werr
			}
		}
		if err == io.EOF {
			return l.finish(a)
		}
		if err != nil {
			return err
		}
	}
}

func (l *relay) scan(data []byte) {
	for len(data) > 0 {
		n, _ := l.scanner.Next(data)
		data = data[n:]
	}
}

// finish writes the remaining bytes after the end of the stream.
func (l *relay) finish(a *upstream.Response) error {
	l.writeHeader(a)
	if len(l.partial) == 0 {
		return nil
	}
	return l.write(l.partial)
}

// forward writes received data. For a resumable stream it writes only complete events: an
// upstream may stop in the middle of an event, and the next one starts with a complete event.
func (l *relay) forward(a *upstream.Response, data []byte) error {
	if !l.resumable {
		l.writeHeader(a)
		return l.write(data)
	}
	l.partial = append(l.partial, data...)
	complete := lastEventEnd(l.partial)
	if complete == 0 {
		return nil
	}
	ready := l.skipDelivered(l.partial[:complete])
	if id := lastIDIn(ready); id != "" {
		l.lastID = id
	}
	l.writeHeader(a)
	err := l.write(ready)
	l.partial = append(l.partial[:0], l.partial[complete:]...)
	return err
}

func (l *relay) write(b []byte) error {
	if len(b) == 0 {
		return nil
	}
	if _, err := l.w.Write(b); err != nil {
		l.callerDisconnected = true
		return err
	}
	if err := http.NewResponseController(l.w).Flush(); err != nil {
		l.callerDisconnected = true
		return err
	}
	return nil
}

var eventEnd = []byte("\n\n")

// lastEventEnd returns the length of the complete events at the start of b.
func lastEventEnd(b []byte) int {
	at := bytes.LastIndex(b, eventEnd)
	if at < 0 {
		return 0
	}
	return at + len(eventEnd)
}

var idField = []byte("id:")

// lastIDIn returns the ID of the last event in b that has one, or "".
func lastIDIn(b []byte) string {
	id := ""
	for line := range bytes.SplitSeq(b, []byte("\n")) {
		if value, found := bytes.CutPrefix(line, idField); found {
			id = string(bytes.TrimSpace(value))
		}
	}
	return id
}

// skipDelivered removes the events that the caller already has: an upstream that resumes a
// stream may start too early, and no event may be delivered twice.
func (l *relay) skipDelivered(events []byte) []byte {
	last, err := strconv.ParseInt(l.lastID, 10, 64)
	if err != nil {
		return events
	}
	for len(events) > 0 {
		end := bytes.Index(events, eventEnd) + len(eventEnd)
		id, err := strconv.ParseInt(lastIDIn(events[:end]), 10, 64)
		if err != nil || id > last {
			return events
		}
		events = events[end:]
	}
	return events
}
