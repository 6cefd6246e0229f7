package responsehead

import (
	"net/http"
	"strconv"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// part is the part of a head to which the next byte belongs.
type part uint8

const (
	statusLine part = iota
	reasonPhrase
	lineStart
	fieldName
	fieldValue
	ended
)

// maxKept is the number of bytes that are kept of a status line, a name or a value. Names and values that
// say where the body ends are shorter.
const maxKept = 32

// Checker checks a head as its bytes arrive, and keeps no more than a few of them. Its zero value expects
// the first byte. Lines may end with LF alone, as RFC 9112, section 2.2, allows.
type Checker struct {
	part part
	// afterCR is set if the last byte was a carriage return, which only LF may follow.
	afterCR bool
	// kept has the first bytes of the current status line, name or value, and size is its whole size.
	kept    [maxKept]byte
	size    int
	framing framing
	err     error
}

// Write checks the next bytes, but for those that follow the head. It returns an *Error if they are no
// part of a valid head; the same error follows from then on.
func (c *Checker) Write(p []byte) (n int, err error) {
	for n < len(p) && c.part != ended && c.err == nil {
		c.err = c.next(p[n])
		n++
	}
	return n, c.err
}

// Ended reports whether the whole head has been checked.
func (c *Checker) Ended() bool { return c.part == ended }

// Err returns an *Error unless a whole and valid head has been checked.
func (c *Checker) Err() error {
	if c.err == nil && !c.Ended() {
		return &Error{InvalidField, "the head ends early"}
	}
	return c.err
}

// next checks the next byte.
func (c *Checker) next(b byte) error {
	switch {
	case b == '\n':
		c.afterCR = false
		return c.endLine()
	case c.afterCR:
		return &Error{InvalidField, "carriage return inside a line"}
	case b == '\r':
		c.afterCR = true
		return nil
	}
	switch c.part {
	case statusLine:
		c.keep(b)
		if c.size == len("HTTP/1.1 200 ") {
			c.part = reasonPhrase
			return c.checkStatusLine()
		}
	case reasonPhrase:
		if !validInValue(b) {
			return &Error{InvalidStatus, "byte " + quoteByte(b) + " in the reason phrase"}
		}
	case lineStart, fieldName:
		return c.addToName(b)
	case fieldValue:
		if !validInValue(b) {
			return &Error{InvalidField, "byte " + quoteByte(b) + " in the value of a field"}
		}
		c.keep(b)
	}
	return nil
}

// endLine handles the end of a line.
func (c *Checker) endLine() error {
	switch c.part {
	case statusLine:
		if err := c.checkStatusLine(); err != nil {
			return err
		}
	case lineStart:
		c.part = ended
		return c.framing.check()
	case fieldName:
		return &Error{InvalidField, "line without a colon: " + quote(string(c.keptBytes()))}
	case fieldValue:
		if err := c.framing.addValue(c.keptBytes(), c.size); err != nil {
			return err
		}
	}
	c.part, c.size = lineStart, 0
	return nil
}

// addToName handles a byte of a field's name, or the colon after it.
func (c *Checker) addToName(b byte) error {
	if b == ':' {
		if c.size == 0 {
			return &Error{InvalidField, "empty name"}
		}
		c.framing.begin(c.keptBytes(), c.size)
		c.part, c.size = fieldValue, 0
		return nil
	}
	if !httpguts.IsTokenRune(rune(b)) || b >= maxASCII {
		return &Error{InvalidField, "byte " + quoteByte(b) + " in the name of a field after " + quote(string(c.keptBytes()))}
	}
	c.part = fieldName
	c.keep(b)
	return nil
}

func (c *Checker) keep(b byte) {
	if c.size < maxKept {
		c.kept[c.size] = b
	}
	c.size++
}

func (c *Checker) keptBytes() []byte { return c.kept[:min(c.size, maxKept)] }

// checkStatusLine checks a line such as "HTTP/1.1 200 OK" up to its reason phrase, which may be missing.
func (c *Checker) checkStatusLine() error {
	line := string(c.keptBytes())
	version, rest, _ := strings.Cut(line, " ")
	if version != "HTTP/1.1" && version != "HTTP/1.0" {
		return &Error{InvalidStatus, "version " + quote(version)}
	}
	c.framing.http10 = version == "HTTP/1.0"
	code, _, _ := strings.Cut(rest, " ")
	return checkStatus(parseStatus(code), quote(code))
}

// parseStatus returns the number of three digits, 0 if the text isn't one.
func parseStatus(text string) int {
	if len(text) != 3 || !isNumber(text) {
		return 0
	}
	status, _ := strconv.Atoi(text) // three digits
	return status
}

func isNumber(text string) bool { return text != "" && strings.Trim(text, "0123456789") == "" }

// The statuses of responses (RFC 9110, section 15).
const (
	minStatus = 100
	maxStatus = 599
)

func checkStatus(status int, quoted string) error {
	switch {
	case status < minStatus || status > maxStatus:
		return &Error{InvalidStatus, "status " + quoted}
	case status == http.StatusSwitchingProtocols:
		return &Error{UnrequestedUpgrade, "status " + quoted}
	}
	return nil
}

const (
	maxASCII = 0x80
	deleted  = 0x7f
)

// validInValue reports whether a byte may be in a field's value or a reason phrase: anything but control
// bytes other than a tab.
func validInValue(b byte) bool { return b == '\t' || b >= ' ' && b != deleted }

func quote(text string) string { return strconv.QuoteToASCII(text[:min(len(text), maxKept)]) }

func quoteByte(b byte) string { return "0x" + strconv.FormatUint(uint64(b), 16) }
