package gateway_test

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against bytes that are no response and that callers get as one, or wait for.
func TestCallersGetNoResponseWithAnInvalidHead(t *testing.T) {
	for name, c := range map[string]struct{ head, reason string }{
		"status 000":                   {"HTTP/1.1 000 \r\nX-Id: %s\r\nX-Seal: s\r\nContent-Length: 5\r\n\r\nwrong", "invalid_status"},
		"status 000 without a body":    {"HTTP/1.1 000 \r\nX-Id: %s\r\nX-Seal: s\r\nContent-Length: 0\r\n\r\n", "invalid_status"},
		"status 999":                   {"HTTP/1.1 999 X\r\nX-Id: %s\r\nX-Seal: s\r\nContent-Length: 5\r\n\r\nwrong", "invalid_status"},
		"blank before the colon":       {"HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Seal: s\r\nContent-Length : 5\r\n\r\nwrong and more", "invalid_field"},
		"blank in a name":              {"HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Seal: s\r\nX Y: z\r\nContent-Length: 5\r\n\r\nwrong", "invalid_field"},
		"control byte in a name":       {"HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Seal: s\r\nX\x02Y: z\r\nContent-Length: 5\r\n\r\nwrong", "invalid_"},
		"not run, with a blank":        {"HTTP/1.1 503 X\r\nX-Id: %s\r\nX-Not-Run: 1\r\nX Y: z\r\nContent-Length: 0\r\n\r\n", "invalid_field"},
		"another protocol":             {"HTTP/1.1 101 X\r\nX-Id: %s\r\nX-Seal: s\r\nUpgrade: other\r\nConnection: upgrade\r\n\r\n", "unrequested_upgrade"},
		"a length and chunks together": {"HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Seal: s\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwrong\r\n0\r\n\r\n", "invalid_framing"},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			invalid := func(req *http.Request, w io.Writer) bool {
				_, err := fmt.Fprintf(w, c.head, req.Header.Get("X-Id"))
				return err == nil
			}
			r := newHarness(t, map[string]script{"u1": invalid, "u2": ok("right")})
			started := time.Now()
			resp, body, err := r.call("/unsafe/x", nil)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(resp.StatusCode).To(Equal(http.StatusBadGateway), "the request may have run: %s", body)
			g.Expect(time.Since(started)).To(BeNumerically("<", 750*time.Millisecond), "half of the deadline")
			g.Expect(r.requests()).To(HaveLen(1))
			resp, body, err = r.call("/safe/x", nil)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(resp.StatusCode).To(Equal(http.StatusOK))
			g.Expect(body).To(Equal("right"))
			g.Expect(r.placer.crashes).To(BeZero())
			g.Expect(r.logs.String()).To(And(ContainSubstring("upstream_malformed"), ContainSubstring(`"reason":"`+c.reason)))
		})
	}
}
