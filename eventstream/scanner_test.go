package eventstream_test

import (
	"io"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/aspenswitch/aspenswitch/eventstream"
)

// scan feeds a stream in pieces of the given size and returns where its events end.
func scan(stream string, size int) (s eventstream.Scanner, ends []int) {
	at := 0
	for piece := range pieces(stream, size) {
		for len(piece) > 0 {
			n, ended := s.Next([]byte(piece))
			at += n
			piece = piece[n:]
			if ended {
				ends = append(ends, at)
			}
		}
	}
	return s, ends
}

func pieces(stream string, size int) func(func(string) bool) {
	return func(yield func(string) bool) {
		for len(stream) > 0 {
			n := min(size, len(stream))
			if !yield(stream[:n]) {
				return
			}
			stream = stream[n:]
		}
	}
}

// Guards against a stream that was cut at any byte and counts as complete, or the reverse.
func TestStreamIsCompleteOnlyAfterAnEvent(t *testing.T) {
	for name, c := range map[string]struct {
		stream string
		ends   []int
	}{
		"LF":                  {"id: 1\ndata: a\n\nid: 2\ndata: ü\n\n", []int{15, 31}},
		"CRLF":                {"id: 1\r\ndata: a\r\n\r\ndata: b\r\n\r\n", []int{18, 29}},
		"CR":                  {"id: 1\rdata: a\r\rdata: b\r\r", []int{15, 24}},
		"comments":            {": ping\n\n: ping\ndata: a\n\n", []int{7, 8, 15, 24}},
		"comment of one line": {"data: a\n\n: ping\n", []int{9, 16}},
		"CR before LF":        {"data: a\r\n\ndata: b\n\r\n", []int{10, 20}},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			complete := map[int]bool{}
			for _, end := range c.ends {
				complete[end] = true
			}
			for cut := 1; cut <= len(c.stream); cut++ {
				for size := 1; size <= cut; size++ {
					s, _ := scan(c.stream[:cut], size)
					err := s.End(eventstream.Chunked, io.EOF)
					g.Expect(err == nil).To(Equal(complete[cut]), "%q in pieces of %d: %v", c.stream[:cut], size, err)
				}
			}
		})
	}
}

// Guards against a CR that is taken for the end of an event though the LF behind it is missing.
func TestHalfOfALineEndIsNoEnd(t *testing.T) {
	g := NewWithT(t)
	s, _ := scan("data: a\r\n\r", 3)
	g.Expect(s.End(eventstream.Connection, io.EOF)).To(MatchError(io.ErrUnexpectedEOF))
	s, _ = scan("data: a\r\r", 3)
	g.Expect(s.End(eventstream.Connection, io.EOF)).To(Succeed())
}

// Guards against responses that count as complete although their framing doesn't show it.
func TestEndDependsOnTheFraming(t *testing.T) {
	g := NewWithT(t)
	for _, f := range []eventstream.Framing{eventstream.NoBody, eventstream.Length, eventstream.Chunked} {
		var s eventstream.Scanner
		g.Expect(s.End(f, io.EOF)).To(Succeed(), f.String())
		g.Expect(s.End(f, io.ErrUnexpectedEOF)).To(MatchError(io.ErrUnexpectedEOF), f.String())
	}
	for _, beforeFirst := range []string{"", ": ping\n\n", "\n"} {
		s, _ := scan(beforeFirst, 1)
		g.Expect(s.End(eventstream.Connection, io.EOF)).To(MatchError(ContainSubstring("before the first event")), "%q", beforeFirst)
	}
	s, _ := scan("data: a\n\n", 1)
	g.Expect(s.End(eventstream.Connection, io.EOF)).To(Succeed())
	g.Expect(s.End(eventstream.Connection, io.ErrClosedPipe)).To(MatchError(io.ErrClosedPipe))
}

// Guards against an event that never ends and takes the memory of the router.
func TestBufferIsBounded(t *testing.T) {
	g := NewWithT(t)
	b := eventstream.Buffer{MaxBytes: 100}
	g.Expect(b.Write([]byte("data: a\n\ndata: " + strings.Repeat("x", 90)))).To(Succeed())
	g.Expect(string(b.Take())).To(Equal("data: a\n\n"))
	g.Expect(b.Write([]byte("yyyyyyyyyy"))).To(MatchError(eventstream.ErrEventTooLarge))
	g.Expect(b.TakeAll()).To(HaveLen(106))
	g.Expect(b.Write([]byte("z\n\n"))).To(Succeed())
	g.Expect(string(b.Take())).To(Equal("z\n\n"))
}

// Guards against IDs that aren't found behind other line ends or a byte order mark.
func TestFieldIsFoundInEachFormat(t *testing.T) {
	g := NewWithT(t)
	for _, events := range []string{"id: 7\ndata: id: 8\n\n", "data: x\r\nid:7\r\n\r\n", "id: 6\rid: 7\r\r", "\xef\xbb\xbfid: 7\n\n"} {
		id, found := eventstream.Field([]byte(events), "id")
		g.Expect(found).To(BeTrue(), "%q", events)
		g.Expect(string(id)).To(Equal("7"), "%q", events)
	}
	_, found := eventstream.Field([]byte("data: x\n: id: 7\n\n"), "id")
	g.Expect(found).To(BeFalse())
}
