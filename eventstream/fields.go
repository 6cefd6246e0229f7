package eventstream

import (
	"bytes"
	"iter"
)

// Events returns the events in data, each with the blank line that ends it. Data after the last
// complete event is returned last.
func Events(data []byte) iter.Seq[[]byte] {
	return func(yield func([]byte) bool) {
		var s Scanner
		start := 0
		for read := 0; read < len(data); {
			n, ended := s.Next(data[read:])
			read += n
			if ended {
				if !yield(data[start:read]) {
					return
				}
				start = read
			}
		}
		if start < len(data) {
			yield(data[start:])
		}
	}
}

// byteOrderMark may precede the first line of a stream.
var byteOrderMark = []byte("\xef\xbb\xbf")

// Field returns the value of the last field with the given name in complete events, without
// surrounding white space. found is false if there is none.
func Field(events []byte, name string) (value []byte, found bool) {
	for line := range bytes.FieldsFuncSeq(bytes.TrimPrefix(events, byteOrderMark), isLineEnd) {
		field, rest, _ := bytes.Cut(line, []byte(":"))
		if string(field) == name {
			value, found = bytes.TrimSpace(rest), true
		}
	}
	return value, found
}

func isLineEnd(r rune) bool { return r == '\r' || r == '\n' }
