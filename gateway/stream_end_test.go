package gateway_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/aspenswitch/aspenswitch/dispatch"
	"github.com/aspenswitch/aspenswitch/eventstream"
	"github.com/aspenswitch/aspenswitch/quarantine"
)

// ending is how an upstream ends a stream.
type ending struct {
	framing eventstream.Framing
	// eol ends its lines.
	eol string
	// partial are the bytes after the last whole event.
	partial string
	reset   bool
}

// event returns the n-th event.
func (e ending) event(n int) string {
	return fmt.Sprintf("id: %d%sdata: %d%s%s", n, e.eol, n, e.eol, e.eol)
}

// stream returns the events from first to last.
func (e ending) stream(first, last int) string {
	var b strings.Builder
	for n := first; n <= last; n++ {
		b.WriteString(e.event(n))
	}
	return b.String()
}

// script returns a script that sends the events from first to last and ends as described.
func (e ending) script(first, last int) script {
	return func(req *http.Request, w io.Writer) bool {
		body := e.stream(first, last) + e.partial
		head := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Seal: s%d\r\nContent-Type: text/event-stream\r\n", req.Header.Get("X-Id"), first)
		switch e.framing {
		case eventstream.Chunked:
			head, body = head+"Transfer-Encoding: chunked\r\n\r\n", fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body)
		case eventstream.Length:
			head += fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body))
		default:
			head += "\r\n"
		}
		_, _ = io.WriteString(w, head+body) // the connection ends either way
		if e.reset {
			_ = w.(*net.TCPConn).SetLinger(0)
		}
		return false
	}
}

var lineEnds = []string{"\n", "\r\n", "\r"}

// brokenEndings are streams that end inside an event or before their first one.
func brokenEndings() map[string]ending {
	all := map[string]ending{}
	for _, eol := range lineEnds {
		for _, framing := range []eventstream.Framing{eventstream.Connection, eventstream.Chunked, eventstream.Length} {
			for name, partial := range map[string]string{"in its ID": "id", "after its ID": "id: 4" + eol, "in its data": "id: 4" + eol + "da", "before its blank line": "id: 4" + eol + "data: 4" + eol} {
				all[fmt.Sprintf("%s, %v, lines end with %q", name, framing, eol)] = ending{framing: framing, eol: eol, partial: partial}
			}
		}
		all[fmt.Sprintf("reset, lines end with %q", eol)] = ending{framing: eventstream.Connection, eol: eol, partial: "id: 4", reset: true}
	}
	return all
}

// Guards against a stream that was cut inside an event and looks complete to its caller.
func TestStreamCutInsideAnEventDoesNotLookComplete(t *testing.T) {
	for name, end := range brokenEndings() {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			r := newHarness(t, map[string]script{"u1": end.script(1, 3)})
			for _, path := range []string{"/stream/", "/resume/"} {
				resp, body, err := r.call(path, nil)
				g.Expect(resp == nil || resp.StatusCode != http.StatusOK || err != nil).To(BeTrue(), "%s: %q looks complete", path, body)
			}
		})
	}
}

// Guards against a stream that was cut inside an event and isn't continued at another upstream.
func TestStreamCutInsideAnEventIsResumed(t *testing.T) {
	for name, end := range brokenEndings() {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			whole := ending{framing: eventstream.Connection, eol: end.eol}
			r := newHarness(t, map[string]script{"u1": end.script(1, 3), "u2": whole.script(4, 6)})
			_, body, err := r.call("/resume/", nil)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(body).To(Equal(whole.stream(1, 6)))
			g.Expect(r.requests()[1].header.Get("Last-Event-Id")).To(Equal("3"))
		})
	}
}

// Guards against a cut stream that counts as a success of its upstream and clears the quarantine.
func TestStreamCutInsideAnEventCountsAsCrash(t *testing.T) {
	for _, path := range []string{"/stream/", "/resume/"} {
		g := NewWithT(t)
		r := newHarness(t, map[string]script{"u1": ending{framing: eventstream.Connection, eol: "\n", partial: "id: 4"}.script(1, 3)})
		content := quarantine.NewContentKey("schools", http.MethodPost, "h", path, []byte("hello"))
		for range 2 {
			_, _, _ = r.call(path, nil)
		}
		g.Expect(r.placer.Quarantine().Status(content)).To(Equal(quarantine.Suspect))
		g.Expect(r.placer.reportedOutcomes()).To(Equal([]dispatch.Outcome{dispatch.Failed, dispatch.Failed}))
		g.Eventually(r.logs.String).Should(ContainSubstring(`"outcome":"cut"`))
	}
}

// Guards against a success for a stream whose upstream ended before the first event.
func TestStreamWithoutAnEventIsNoSuccess(t *testing.T) {
	g := NewWithT(t)
	r := newHarness(t, map[string]script{"u1": ending{framing: eventstream.Connection}.script(1, 0)})
	for _, path := range []string{"/stream/", "/resume/"} {
		resp, body, err := r.call(path, nil)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(resp.StatusCode).To(Equal(http.StatusBadGateway))
		g.Expect(body).To(ContainSubstring(`"outcome":"unknown"`))
	}
}

// Guards against whole streams that are cut or changed because of their framing or line ends.
func TestWholeStreamsPassUnchanged(t *testing.T) {
	for _, eol := range lineEnds {
		for _, framing := range []eventstream.Framing{eventstream.Connection, eventstream.Chunked, eventstream.Length} {
			whole := ending{framing: framing, eol: eol}
			r := newHarness(t, map[string]script{"u1": whole.script(1, 5)})
			for _, path := range []string{"/stream/", "/resume/"} {
				g := NewWithT(t)
				_, body, err := r.call(path, nil)
				g.Expect(err).NotTo(HaveOccurred(), "%v, %q", framing, eol)
				g.Expect(body).To(Equal(whole.stream(1, 5)))
			}
		}
	}
}

// Guards against a cut answer that looks complete to an HTTP/1.0 caller, which gets no chunks.
func TestCutAnswerIsResetForOldCallers(t *testing.T) {
	g := NewWithT(t)
	r := newHarness(t, map[string]script{"u1": ending{framing: eventstream.Connection, eol: "\n", partial: "id: 4"}.script(1, 3)})
	for _, path := range []string{"/stream/", "/resume/"} {
		c, err := net.Dial("tcp", r.addr)
		g.Expect(err).NotTo(HaveOccurred())
		_, err = fmt.Fprintf(c, "POST %s HTTP/1.0\r\nHost: h\r\nX-Id: id1\r\nX-Left: 1500\r\nX-Key: k1\r\nContent-Length: 5\r\n\r\nhello", path)
		g.Expect(err).NotTo(HaveOccurred())
		answer, err := io.ReadAll(c)
		g.Expect(err).To(HaveOccurred(), "%s: %q looks complete", path, answer)
		_ = c.Close()
	}
}

// Guards against large events that fill the memory or are cut, and against continuing a stream of
// which the caller has half an event.
func TestEventLargerThanTheBufferPasses(t *testing.T) {
	large := "id: 4\ndata: " + strings.Repeat("x", 100<<10)
	for _, end := range []struct {
		partial string
		whole   bool
	}{{large + "\n\n", true}, {large, false}} {
		g := NewWithT(t)
		r := newHarness(t, map[string]script{
			"u1": ending{framing: eventstream.Connection, eol: "\n", partial: end.partial}.script(1, 3),
			"u2": ending{framing: eventstream.Connection, eol: "\n"}.script(4, 6),
		})
		_, body, err := r.call("/resume/", nil)
		g.Expect(err == nil).To(Equal(end.whole))
		if end.whole {
			g.Expect(len(body)).To(Equal(len(ending{eol: "\n"}.stream(1, 3)) + len(end.partial)))
		}
		g.Expect(r.requests()).To(HaveLen(1))
	}
}
