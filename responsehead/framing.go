package responsehead

import (
	"bytes"
	"strings"
)

// framing has the fields that say where the body ends.
type framing struct {
	http10 bool
	// field is that whose value follows.
	field field
	// length is the value of Content-Length, "" if there is none. chunked is set if the body has chunks.
	length  string
	chunked bool
}

// field is a field that says where the body ends.
type field uint8

const (
	otherField field = iota
	contentLength
	transferEncoding
)

var contentLengthName, transferEncodingName = []byte("Content-Length"), []byte("Transfer-Encoding")

// begin records the name, whose whole size is given, of the field whose value follows.
func (f *framing) begin(name []byte, size int) {
	f.field = otherField
	switch {
	case size > maxKept:
	case bytes.EqualFold(name, contentLengthName):
		f.field = contentLength
	case bytes.EqualFold(name, transferEncodingName):
		f.field = transferEncoding
	}
}

// addValue records a value, whose whole size is given.
func (f *framing) addValue(kept []byte, size int) error {
	if f.field == otherField {
		return nil
	}
	value := strings.Trim(string(kept), " \t")
	switch f.field {
	case contentLength:
		if size > maxKept || !isNumber(value) {
			return &Error{InvalidFraming, "length " + quote(value)}
		}
		if f.length != "" && f.length != value {
			return &Error{InvalidFraming, "lengths that differ"}
		}
		f.length = value
	case transferEncoding:
		if f.chunked || size > maxKept || !strings.EqualFold(value, "chunked") {
			return &Error{InvalidFraming, "transfer coding " + quote(value)}
		}
		f.chunked = true
	}
	return nil
}

// check checks the fields together.
func (f *framing) check() error {
	switch {
	case f.chunked && f.length != "":
		return &Error{InvalidFraming, "a length and a transfer coding"}
	case f.chunked && f.http10:
		return &Error{InvalidFraming, "a transfer coding in HTTP/1.0"}
	}
	return nil
}
