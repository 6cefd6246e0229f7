package upstream_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/aspenswitch/aspenswitch/upstream"
)

// invalidHeads are responses that are none, and the reasons for which they are refused. InvalidHeader is
// for what the parser of net/http refuses itself.
var invalidHeads = map[string]struct {
	head   string
	reason upstream.MalformedReason
}{
	"status 000":               {"HTTP/1.1 000 \r\nId: 1\r\nContent-Length: 0\r\n\r\n", upstream.InvalidStatus},
	"status 099":               {"HTTP/1.1 099 X\r\nId: 1\r\nContent-Length: 0\r\n\r\n", upstream.InvalidStatus},
	"status 000, then another": {"HTTP/1.1 000 \r\n\r\nHTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nno", upstream.InvalidStatus},
	"status 600":               {"HTTP/1.1 600 X\r\nId: 1\r\nContent-Length: 2\r\n\r\nno", upstream.InvalidStatus},
	"version 2":                {"HTTP/2.0 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nno", upstream.InvalidStatus},
	"upgrade":                  {"HTTP/1.1 101 X\r\nId: 1\r\nUpgrade: x\r\n\r\n", upstream.UnrequestedUpgrade},
	"upgrade, then another":    {"HTTP/1.1 101 X\r\n\r\nHTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nno", upstream.UnrequestedUpgrade},
	"blank before the colon":   {"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length : 2\r\n\r\nno, and more", upstream.InvalidField},
	"blank in a name":          {"HTTP/1.1 200 OK\r\nId: 1\r\nContent Length: 2\r\nContent-Length: 3\r\n\r\nno!", upstream.InvalidField},
	"control byte in a name":   {"HTTP/1.1 200 OK\r\nId: 1\r\nX-\x01: 2\r\nContent-Length: 2\r\n\r\nno", upstream.InvalidHeader},
	"control byte in a value":  {"HTTP/1.1 200 OK\r\nId: 1\r\nX-Y: a\x02b\r\nContent-Length: 2\r\n\r\nno", upstream.InvalidHeader},
	"bare carriage return":     {"HTTP/1.1 200 OK\r\nId: 1\r\nX-Y: a\rContent-Length: 9\r\nContent-Length: 2\r\n\r\nno", upstream.InvalidHeader},
	"folded line":              {"HTTP/1.1 200 OK\r\nId: 1\r\nX-Y: a\r\n Content-Length: 9\r\nContent-Length: 2\r\n\r\nno", upstream.InvalidField},
	"length beside chunks":     {"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nno\r\n0\r\n\r\n", upstream.InvalidFraming},
	"chunks in an old version": {"HTTP/1.0 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nno\r\n0\r\n\r\n", upstream.InvalidFraming},
	"interim with a bad name":  {"HTTP/1.1 103 X\r\nLi nk: a\r\n\r\nHTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nno", upstream.InvalidField},
	"mismatched, bad name":     {"HTTP/1.1 200 OK\r\nId: 2\r\nX Y: a\r\nContent-Length: 2\r\n\r\nnoHTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nno", upstream.InvalidField},
}

// Guards against bytes that are no response and that a caller gets as one, or waits for.
func TestInvalidHeadIsNoResponse(t *testing.T) {
	for name, c := range invalidHeads {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			done := make(chan struct{})
			s := serve(t, func(conn net.Conn, r *bufio.Reader) {
				_, _, _ = readRequest(r)
				_, _ = io.WriteString(conn, c.head)
				<-done
			})
			defer close(done)
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			resp, err := newPool(t).Do(ctx, s.request("1", "hello"))
			if err == nil {
				resp.Close()
			}
			var malformed *upstream.MalformedResponseError
			g.Expect(errors.As(err, &malformed)).To(BeTrue(), "%v", err)
			g.Expect(malformed.Reason).To(Equal(c.reason))
			g.Expect(malformed.Bytes).To(BeNumerically(">", 0))
			g.Expect(upstream.NotSent(err)).To(BeFalse(), "the upstream may have run the request")
		})
	}
}

// Guards against the same at the own API's client, whose parser drops some of what is wrong.
func TestClientRefusesInvalidHeads(t *testing.T) {
	for name, c := range invalidHeads {
		switch name {
		case "folded line", "length beside chunks", "chunks in an old version", "interim with a bad name", "mismatched, bad name":
			continue // http.Transport reads them as a response whose header has none of it
		}
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s := serve(t, func(conn net.Conn, r *bufio.Reader) {
				_, _, _ = readRequest(r)
				_, _ = io.WriteString(conn, c.head)
			})
			client := upstream.NewClient(upstream.DefaultConfig())
			defer client.Close()
			req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+s.listener.Addr().String()+"/", nil)
			g.Expect(err).NotTo(HaveOccurred())
			resp, err := client.Do(req, true)
			if err == nil {
				_ = resp.Body.Close()
			}
			g.Expect(err).To(HaveOccurred())
			g.Expect(upstream.NotSent(err)).To(BeFalse(), "the upstream may have run the request")
		})
	}
}
