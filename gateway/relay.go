package gateway

import (
	"errors"
	"io"
	"mime"
	"net/http"
	"strconv"

	"github.com/aspenswitch/aspenswitch/eventstream"
	"github.com/aspenswitch/aspenswitch/routing"
	"github.com/aspenswitch/aspenswitch/upstream"
)

// relay writes a response to the caller. A stream that is resumed at a second upstream keeps
// the status and headers of the first one.
//
// Its framing is its own: a stream gets its last chunk only if it is complete, whatever the
// framing of the upstream's response.
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
	// unsized is set if the length of the upstream's response isn't that of the caller's.
	unsized bool
	// events has the incomplete event of the current upstream's stream.
	events eventstream.Buffer
}

const (
	// maxEventBytes limits the bytes of an event that are held until it is complete.
	maxEventBytes = 64 << 10
	// maxRelayedEventBytes limits an event. It is as large as the largest request bodies in use, and an
	// event is at most one whole answer.
	maxRelayedEventBytes = 4 << 20
)

func newRelay(w http.ResponseWriter, route *routing.Route) *relay {
	return &relay{
		w: w, resumable: route.Kind == routing.Streaming && route.Resumable,
		events: eventstream.Buffer{MaxBytes: maxEventBytes},
	}
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
	h := l.w.Header()
	for name, values := range a.Header {
		h[name] = values
	}
	h.Del("Content-Length")
	if a.BodyLength >= 0 && !l.unsized {
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

// errNoEventStream is returned if a stream was to be resumed and the response is something else.
var errNoEventStream = errors.New("gateway: the response that should resume a stream isn't an event stream")

// streamBufferBytes is the size of the read buffer: several events.
const streamBufferBytes = 2 << 10

// relayEvents forwards a stream. It returns nil if the stream is complete, and an
// *eventstream.IncompleteError if it isn't. onFirstByte is called when the first bytes of the
// body arrive, onStarted when eventsOfStartedAnswer events have come.
func (l *relay) relayEvents(a *upstream.Response, onFirstByte, onStarted func()) error {
	resumed, kind := l.started, contentOf(a)
	if resumed && kind == otherContent {
		return errNoEventStream
	}
	l.unsized = kind != otherContent && a.Framing != eventstream.NoBody
	l.events.Reset()
	buf := make([]byte, streamBufferBytes)
	first, started := true, false
	for {
		n, err := a.Read(buf)
		if n > 0 {
			if first {
				first = false
				onFirstByte()
			}
			werr := l.forward(a, buf[:n], resumed, kind)
			if !started && l.events.Scanner().Events() >= eventsOfStartedAnswer {
				started = true
				onStarted()
			}
			if werr != nil {
				return werr
			}
		}
		if err == nil {
			continue
		}
		if err != io.EOF || kind.endsWithEvent(a.Framing) {
			if err := l.events.Scanner().End(a.Framing, err); err != nil {
				return err
			}
		}
		l.writeHeader(a)
		return l.write(l.events.TakeAll())
	}
}

// content is what a response on a streaming route contains, by its Content-Type.
type content uint8

const (
	// untypedContent has no Content-Type. It is taken for events, since the route is for streams.
	untypedContent content = iota
	eventContent
	otherContent
)

func contentOf(a *upstream.Response) content {
	value := a.Header.Get("Content-Type")
	mediaType, _, err := mime.ParseMediaType(value)
	switch {
	case value == "":
		return untypedContent
	case err == nil && mediaType == "text/event-stream":
		return eventContent
	}
	return otherContent
}

// endsWithEvent reports whether a response that has ended regularly is complete only after an
// event. Untyped content needs no event if its framing marks the end.
func (c content) endsWithEvent(framing eventstream.Framing) bool {
	return c == eventContent || c == untypedContent && framing == eventstream.Connection
}

// forward writes received data. For a resumable stream it writes only complete events: an
// upstream may stop in the middle of an event, and the next one starts with a complete event.
func (l *relay) forward(a *upstream.Response, data []byte, resumed bool, kind content) error {
	err := l.events.Write(data)
	// The start of an event of a resumed stream may be a part that the caller already has.
	if err != nil && resumed || l.events.OpenBytes() > maxRelayedEventBytes && kind.endsWithEvent(a.Framing) {
		return &upstream.MalformedResponseError{Reason: upstream.EventTooLarge, Bytes: l.events.OpenBytes(), Cause: err}
	}
	if !l.resumable || kind == otherContent || err != nil {
		l.resumable = false
		l.writeHeader(a)
		return l.write(l.events.TakeAll())
	}
	ready := l.events.Take()
	if len(ready) == 0 {
		return nil
	}
	ready = l.skipDelivered(ready)
	if id, found := eventstream.Field(ready, idField); found && len(id) > 0 {
		l.lastID = string(id)
	}
	l.writeHeader(a)
	return l.write(ready)
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

// idField is the name of the field with an event's ID.
const idField = "id"

// skipDelivered removes the events that the caller already has: an upstream that resumes a
// stream may start too early, and no event may be delivered twice.
func (l *relay) skipDelivered(events []byte) []byte {
	last, err := strconv.ParseInt(l.lastID, 10, 64)
	if err != nil {
		return events
	}
	for event := range eventstream.Events(events) {
		value, _ := eventstream.Field(event, idField)
		id, err := strconv.ParseInt(string(value), 10, 64)
		if err != nil || id > last {
			return events
		}
		events = events[len(event):]
	}
	return events
}
