package eventstream

import (
	"io"
	"net/http"
	"slices"
)

// Framing is how an HTTP response marks the end of its body (RFC 9112, section 6.3).
type Framing uint8

// Framings.
const (
	// NoBody is the framing of responses that have no body by their method or status.
	NoBody Framing = iota
	// Length is a Content-Length.
	Length
	// Chunked is a last chunk.
	Chunked
	// Connection is the end of the connection. An upstream that ends has the same effect.
	Connection
)

// String returns the framing as it appears in logs.
func (f Framing) String() string {
	switch f {
	case NoBody:
		return "no-body"
	case Length:
		return "length"
	case Chunked:
		return "chunked"
	default:
		return "connection"
	}
}

// FramingOf returns the framing of a response to a request with the given method.
func FramingOf(method string, resp *http.Response) Framing {
	switch {
	case method == http.MethodHead, resp.StatusCode == http.StatusNoContent, resp.StatusCode == http.StatusNotModified, resp.StatusCode < http.StatusOK:
		return NoBody
	case slices.Contains(resp.TransferEncoding, "chunked"):
		return Chunked
	case resp.ContentLength >= 0:
		return Length
	}
	return Connection
}

// IncompleteError is returned for a stream that ended before it was complete.
type IncompleteError struct {
	Framing Framing
	// InEvent is set if the stream ended inside an event.
	InEvent bool
	// Events is the number of events before the end.
	Events int64
	// Cause is the read error, nil if the body ended regularly by its framing.
	Cause error
}

// Error implements error.
func (e *IncompleteError) Error() string {
	text := "stream ended " + e.Position() + ", framing " + e.Framing.String()
	if e.Cause != nil {
		text += ": " + e.Cause.Error()
	}
	return text
}

// Position describes where the stream ended, for logs.
func (e *IncompleteError) Position() string {
	switch {
	case e.InEvent:
		return "inside an event"
	case e.Events == 0:
		return "before the first event"
	default:
		return "between two events"
	}
}

// Unwrap returns the cause, or io.ErrUnexpectedEOF if there is none.
func (e *IncompleteError) Unwrap() error {
	if e.Cause != nil {
		return e.Cause
	}
	return io.ErrUnexpectedEOF
}

// End returns nil if a stream that has ended is complete. cause is the read error, io.EOF if
// the body ended regularly by its framing.
//
// No framing completes an event that has started. A body that ends with its connection has no
// other sign of its end, so it must have an event; if it ends between two events, it counts as
// complete, though its upstream may have ended there.
func (s *Scanner) End(framing Framing, cause error) error {
	if cause == io.EOF && (framing == NoBody || !s.InEvent() && (framing != Connection || s.events > 0)) {
		return nil
	}
	return s.Incomplete(framing, cause)
}

// Incomplete returns the error for a stream that has ended and isn't complete. cause is the read
// error, io.EOF if the body ended regularly by its framing.
func (s *Scanner) Incomplete(framing Framing, cause error) error {
	if cause == io.EOF {
		cause = nil
	}
	return &IncompleteError{Framing: framing, InEvent: s.InEvent(), Events: s.events, Cause: cause}
}
