package responsehead

// Reason is why bytes are not the head of a response. It is used in logs and as a metric tag.
type Reason string

// Reasons.
const (
	// InvalidStatus is for a status line that isn't one, an unknown version of the protocol, and a status
	// that isn't a number of three digits from 100 to 599.
	InvalidStatus Reason = "invalid_status"
	// UnrequestedUpgrade is for status 101: no request asks for another protocol.
	UnrequestedUpgrade Reason = "unrequested_upgrade"
	// InvalidField is for a line of the header without a name and a colon, and for bytes in a name or a
	// value that must not be there. Folded lines are obsolete and must not be sent.
	InvalidField Reason = "invalid_field"
	// InvalidFraming is for a header that doesn't say clearly where the body ends: lengths that differ or
	// aren't numbers, a length beside a transfer coding, and a coding other than chunked.
	InvalidFraming Reason = "invalid_framing"
)

// Reasons are all reasons.
var Reasons = []Reason{InvalidStatus, UnrequestedUpgrade, InvalidField, InvalidFraming}

// Error is returned for bytes that are not the head of a response.
type Error struct {
	Reason Reason
	// Detail names what is wrong. It quotes at most maxKept bytes of what was received.
	Detail string
}

// Error implements error.
func (e *Error) Error() string { return "responsehead: " + string(e.Reason) + ": " + e.Detail }
