package upstream

import (
	"errors"
	"fmt"
	"io"
	"net"

	"github.com/aspenswitch/aspenswitch/responsehead"
)

// MalformedReason is why received bytes are not a response. It is used in logs and as a metric tag.
type MalformedReason string

// Reasons.
const (
	// NotHTTP is for bytes that don't begin with the name of the protocol.
	NotHTTP MalformedReason = "not_http"
	// HeaderTooLarge is for a header that exceeds PoolConfig.MaxHeaderBytes.
	HeaderTooLarge MalformedReason = "header_too_large"
	// HeaderTooSlow is for a header of which bytes still arrive after PoolConfig.MaxHeaderTime.
	HeaderTooSlow MalformedReason = "header_too_slow"
	// InvalidHeader is for a status line or a header that can't be parsed.
	InvalidHeader MalformedReason = "invalid_header"
	// InvalidStatus, UnrequestedUpgrade, InvalidField and InvalidFraming are for a status line or a header
	// that can be parsed and isn't valid, see package responsehead.
	InvalidStatus      = MalformedReason(responsehead.InvalidStatus)
	UnrequestedUpgrade = MalformedReason(responsehead.UnrequestedUpgrade)
	InvalidField       = MalformedReason(responsehead.InvalidField)
	InvalidFraming     = MalformedReason(responsehead.InvalidFraming)
	// InvalidBody is for a body whose chunks can't be parsed.
	InvalidBody MalformedReason = "invalid_body"
	// BodyTooLarge is for a body that is read as a whole and exceeds its limit.
	BodyTooLarge MalformedReason = "body_too_large"
	// EventTooLarge is for an event of a stream that exceeds its limit.
	EventTooLarge MalformedReason = "event_too_large"
	// MismatchedBody is for a response to another request whose body doesn't end.
	MismatchedBody MalformedReason = "mismatched_body"
)

// MalformedReasons are all reasons.
var MalformedReasons = []MalformedReason{
	NotHTTP, HeaderTooLarge, HeaderTooSlow, InvalidHeader, InvalidStatus, UnrequestedUpgrade, InvalidField, InvalidFraming,
	InvalidBody, BodyTooLarge, EventTooLarge, MismatchedBody,
}

// MalformedResponseError is returned for bytes that are not a response, or for a response that
// exceeds a limit. The upstream is reachable and may have run the request.
type MalformedResponseError struct {
	Reason MalformedReason
	// Bytes is the number of bytes that were received of the part of the response that Reason names.
	Bytes int64
	// Cause is the parser's error, nil if there is none.
	Cause error
}

// Error implements error.
func (e *MalformedResponseError) Error() string {
	text := fmt.Sprintf("upstream: malformed response: %s after %d bytes", e.Reason, e.Bytes)
	if e.Cause != nil {
		cause := e.Cause.Error()
		text += ": " + cause[:min(len(cause), maxCauseBytes)]
	}
	return text
}

// newInvalidHead returns the error for a head that isn't valid, nil if err is nil. received is the number
// of bytes that have been received of it.
func newInvalidHead(err error, received int64) error {
	var invalid *responsehead.Error
	if !errors.As(err, &invalid) {
		return err
	}
	return &MalformedResponseError{Reason: MalformedReason(invalid.Reason), Bytes: received, Cause: invalid}
}

// maxCauseBytes limits the text of a parser's error, which may quote a whole header. The text is logged.
const maxCauseBytes = 128

// Unwrap returns the cause.
func (e *MalformedResponseError) Unwrap() error { return e.Cause }

// isConnError reports whether a read failed because of the connection, not because of the bytes.
func isConnError(err error) bool {
	var netErr net.Error
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &netErr)
}
