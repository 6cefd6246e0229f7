package upstream

import (
	"time"

	"github.com/aspenswitch/aspenswitch/responsehead"
)

// headerLimit bounds the bytes and the time of the headers of one exchange. Without it, a line that
// doesn't end would be held in memory until the deadline of the request.
type headerLimit struct {
	// active is set while a header is read.
	active bool
	// received and maxBytes count the bytes of all headers of the exchange. Bytes of a body that
	// arrive in the same read as a header count too.
	received, maxBytes int64
	// maxTime is the time from the first to the last byte of one header.
	maxTime time.Duration
	// first and last are when the current header's first and last bytes so far arrived.
	first, last time.Time
	// checker checks the current header.
	checker responsehead.Checker
	// readErr is the error at which the current header's bytes ended, nil if there was none.
	readErr error
}

// begin starts a header, of which buffered has arrived.
func (l *headerLimit) begin(buffered []byte) {
	l.active, l.first, l.last, l.readErr = true, time.Time{}, time.Time{}, nil
	l.checker = responsehead.Checker{}
	_, _ = l.checker.Write(buffered) // its error is kept
}

func (l *headerLimit) end() { l.active = false }

// room returns how many more bytes may be read for the header. It returns an error if the header
// needs more bytes than it may have, or bytes of it still arrive after maxTime. A silent upstream
// doesn't exceed maxTime: it may be busy.
func (l *headerLimit) room() (int64, error) {
	switch {
	case l.received >= l.maxBytes:
		return 0, &MalformedResponseError{Reason: HeaderTooLarge, Bytes: l.received}
	case l.last.Sub(l.first) > l.maxTime:
		return 0, &MalformedResponseError{Reason: HeaderTooSlow, Bytes: l.received}
	}
	return l.maxBytes - l.received, nil
}

// add records received bytes.
func (l *headerLimit) add(received []byte, now time.Time) {
	if len(received) == 0 {
		return
	}
	_, _ = l.checker.Write(received) // its error is kept
	l.received += int64(len(received))
	l.last = now
	if l.first.IsZero() {
		l.first = now
	}
}
