package gateway_test

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against requests that reach an upstream in a form which it reads otherwise than the router.
func TestCallersCannotSendWhatUpstreamsReadOtherwise(t *testing.T) {
	for name, c := range map[string]struct {
		fields, body string
		// want is the body that the upstream gets, "refused" if the request must not reach it.
		want string
	}{
		"blank before the colon":     {"Content-Length : 5\r\n", "hello", "refused"},
		"blank in a name":            {"X Y: 1\r\nContent-Length: 5\r\n", "hello", "refused"},
		"control byte in a name":     {"X\x01Y: 1\r\nContent-Length: 5\r\n", "hello", "refused"},
		"control byte in a value":    {"X-Y: a\x00b\r\nContent-Length: 5\r\n", "hello", "refused"},
		"bare carriage return":       {"X-Y: a\rContent-Length: 9\r\nContent-Length: 5\r\n", "hello", "refused"},
		"lengths that differ":        {"Content-Length: 5\r\nContent-Length: 6\r\n", "hello!", "refused"},
		"unknown coding":             {"Transfer-Encoding: gzip\r\n", "hello", "refused"},
		"two codings":                {"Transfer-Encoding: gzip, chunked\r\n", "5\r\nhello\r\n0\r\n\r\n", "refused"},
		"folded line":                {"X-Y: a\r\n Content-Length: 9\r\nContent-Length: 5\r\n", "hello", "hello"},
		"a length and chunks":        {"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n", "5\r\nhello\r\n0\r\n\r\n", "hello"},
		"trailers that set a length": {"Transfer-Encoding: chunked\r\n", "5\r\nhello\r\n0\r\nContent-Length: 9\r\nX-Team: other\r\n\r\n", "hello"},
		"chunk extension":            {"Transfer-Encoding: chunked\r\n", "5;a=b\r\nhello\r\n0;c\r\n\r\n", "hello"},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			r := newHarness(t, map[string]script{"u1": ok("ran")})
			conn := r.dial()
			_, err := fmt.Fprintf(conn, "POST /unsafe/x HTTP/1.1\r\nHost: h\r\nX-Id: 1\r\nX-Left: 1500\r\nX-Key: k1\r\n%s\r\n%s", c.fields, c.body)
			g.Expect(err).NotTo(HaveOccurred())
			_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
			resp, err := http.ReadResponse(conn.reader, nil)
			g.Expect(err).NotTo(HaveOccurred())
			_, _ = io.Copy(io.Discard, resp.Body)
			received := r.requests()
			if c.want == "refused" {
				g.Expect(resp.StatusCode).To(Or(Equal(http.StatusBadRequest), Equal(http.StatusNotImplemented)))
				g.Expect(received).To(BeEmpty())
				return
			}
			g.Expect(resp.StatusCode).To(Equal(http.StatusOK))
			g.Expect(received).To(HaveLen(1))
			g.Expect(received[0].body).To(Equal(c.want))
			g.Expect(received[0].header.Get("Transfer-Encoding")).To(BeEmpty())
			g.Expect(received[0].header.Get("X-Team")).To(Equal("schools"))
		})
	}
}
