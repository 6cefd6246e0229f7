package eventstream_test

import (
	"bytes"
	"io"
	"testing"

	"github.com/aspenswitch/aspenswitch/eventstream"
)

// lines splits a stream as the specification does, by looking at all of it. open is set if the
// last line has no end, or only the CR of what may be a CRLF.
func lines(stream []byte) (all [][]byte, open bool) {
	var line []byte
	loneCR := false
	for i := 0; i < len(stream); i++ {
		switch {
		case stream[i] != '\r' && stream[i] != '\n':
			line = append(line, stream[i])
			continue
		case stream[i] == '\r' && i+1 < len(stream) && stream[i+1] == '\n':
			i++
			loneCR = false
		case stream[i] == '\r' && i+1 == len(stream) && !(loneCR && len(line) == 0):
			return all, true
		default:
			loneCR = stream[i] == '\r'
		}
		all = append(all, line)
		line = nil
	}
	return all, len(line) > 0
}

// inEvent reports whether a whole stream ends inside an event or a line.
func inEvent(stream []byte) bool {
	all, open := lines(stream)
	fields := false
	for _, line := range all {
		fields = len(line) > 0 && (fields || line[0] != ':')
	}
	if !open || fields {
		return fields
	}
	// The CR of a blank line or of a comment leaves no event open.
	last := bytes.LastIndexAny(bytes.TrimSuffix(stream, []byte("\r")), "\r\n")
	rest := bytes.TrimSuffix(stream[last+1:], []byte("\r"))
	return len(rest) > 0 && (rest[0] != ':' || !bytes.HasSuffix(stream, []byte("\r")))
}

// FuzzScanner guards against verdicts that depend on how the data is split, or differ from those
// of a reader that has the whole stream.
func FuzzScanner(f *testing.F) {
	for _, seed := range []string{
		"id: 1\ndata: a\n\n", "data: a\r\n\r\n: ping\r\n\r\n", "data: a\r\rdata: b\r\r", "\n\r\r\n", ":\r", "data: \xc3", "\r\n\r", "a\r\r\n\n",
	} {
		f.Add([]byte(seed), uint8(1), uint8(3))
	}
	f.Fuzz(func(t *testing.T, stream []byte, first, second uint8) {
		one, ends := scan(string(stream), max(int(first), 1))
		two, others := scan(string(stream), max(int(second), 1))
		if one != two || len(ends) != len(others) {
			t.Fatalf("%q: %+v at %v in pieces of %d, %+v at %v in pieces of %d", stream, one, ends, first, two, others, second)
		}
		for i := range ends {
			if ends[i] != others[i] {
				t.Fatalf("%q: events end at %v and at %v", stream, ends, others)
			}
		}
		if got, want := one.InEvent(), inEvent(stream); got != want {
			t.Fatalf("%q: in event %v, want %v", stream, got, want)
		}
		if one.InEvent() && one.End(eventstream.Connection, io.EOF) == nil {
			t.Fatalf("%q ends inside an event and counts as complete", stream)
		}
		rest := stream
		for event := range eventstream.Events(stream) {
			if !bytes.HasPrefix(rest, event) {
				t.Fatalf("%q: event %q isn't at the start of %q", stream, event, rest)
			}
			rest = rest[len(event):]
		}
		if len(rest) > 0 {
			t.Fatalf("%q: events leave %q", stream, rest)
		}
	})
}
