package gateway_test

import (
	"fmt"
	"io"
	"net/http"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/aspenswitch/aspenswitch/dispatch"
	"github.com/aspenswitch/aspenswitch/eventstream"
	"github.com/aspenswitch/aspenswitch/quarantine"
)

// cutAt are the places at which an upstream closes its connection, with what its router reports by the
// framing of the stream.
var cutAt = []struct {
	name string
	// head is the start of the response, "whole" for all of its header; body are the bytes of its stream.
	head, body string
	// crash is set for each framing if the end is reported as a crash, else it is unconfirmed.
	crash map[eventstream.Framing]bool
}{
	{name: "before the status", crash: all(true)},
	{name: "within the headers", head: "HTTP/1.1 200 OK\r\nX-Id: id1\r\nX-Se", crash: all(true)},
	{name: "before the body", head: "whole", crash: all(true)},
	{name: "within the first event", head: "whole", body: "id: 1\ndata: fir", crash: all(true)},
	{name: "between the first and the second event", head: "whole", body: "id: 1\ndata: 1\n\n", crash: map[eventstream.Framing]bool{eventstream.Chunked: true, eventstream.Length: true}},
	{name: "within the second event", head: "whole", body: "id: 1\ndata: 1\n\nid: 2\nda", crash: all(true)},
}

func all(crash bool) map[eventstream.Framing]bool {
	return map[eventstream.Framing]bool{eventstream.Connection: crash, eventstream.Chunked: crash, eventstream.Length: crash}
}

// cutScript sends a response whose stream has the given framing and closes the connection before its end.
func cutScript(head, body string, framing eventstream.Framing) script {
	return func(req *http.Request, w io.Writer) bool {
		if head != "whole" {
			_, _ = io.WriteString(w, head)
			return false
		}
		text := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Seal: s\r\nContent-Type: text/event-stream\r\n", req.Header.Get("X-Id"))
		switch framing {
		case eventstream.Chunked:
			text += "Transfer-Encoding: chunked\r\n\r\n"
			if body != "" {
				text += fmt.Sprintf("%x\r\n%s\r\n", len(body), body)
			}
		case eventstream.Length:
			text += "Content-Length: 1000\r\n\r\n" + body
		default:
			text += "\r\n" + body
		}
		_, _ = io.WriteString(w, text) // the connection ends either way
		return false
	}
}

// Guards against an upstream that closes the connection at any place of its first two events and whose
// request counts as a success, which clears the parts of its prompt.
func TestEndsBeforeAnAnswerHasStartedAreNoSuccess(t *testing.T) {
	for _, c := range cutAt {
		for _, framing := range []eventstream.Framing{eventstream.Connection, eventstream.Chunked, eventstream.Length} {
			for _, path := range []string{"/stream/", "/resume/"} {
				t.Run(fmt.Sprintf("%s, %v, %s", c.name, framing, path), func(t *testing.T) {
					g := NewWithT(t)
					r := newHarness(t, map[string]script{"u1": cutScript(c.head, c.body, framing)})
					r.placer.ReportCrash(quarantine.Interruption{Keys: []quarantine.Key{quarantine.NewPartKey(0xb2)}}, dispatch.Incarnation{ID: "u9"}, 0)
					_, _, _ = r.call(path, withParts("a1", "b2", "c3"))
					g.Expect(r.placer.startedParts()).To(BeEmpty())
					g.Expect(r.placer.Quarantine().HasCrashes(quarantine.NewPartKey(0xb2))).To(BeTrue())
					g.Expect(r.placer.Quarantine().HasCrashes(quarantine.NewPartKey(0xa1))).To(Equal(c.crash[framing]))
					if c.crash[framing] {
						g.Expect(r.placer.unconfirmedEnds()).To(BeEmpty())
						return
					}
					ends := r.placer.unconfirmedEnds()
					g.Expect(ends).To(HaveLen(1))
					g.Expect(ends[0].Keys).To(ContainElements(quarantine.NewPartKey(0xa1), quarantine.NewPartKey(0xb2)))
				})
			}
		}
	}
}

// Guards against an answer that ends with its connection and is never a success.
func TestEndOfAStartedAnswerIsASuccess(t *testing.T) {
	g := NewWithT(t)
	r := newHarness(t, map[string]script{"u1": ending{framing: eventstream.Connection, eol: "\n"}.script(1, 2)})
	_, _, err := r.call("/stream/", withParts("a1", "b2", "c3"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(r.placer.unconfirmedEnds()).To(BeEmpty())
	g.Expect(r.placer.startedParts()).To(Equal([]uint64{0xa1, 0xb2}))
}
