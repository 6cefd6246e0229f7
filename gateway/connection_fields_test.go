package gateway_test

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a success without its seal, which callers can't verify, because the upstream names the
// seal in its Connection field.
func TestResponseWhoseSealIsForOneConnectionIsInvalid(t *testing.T) {
	g := NewWithT(t)
	r := newHarness(t, map[string]script{"u1": func(req *http.Request, w io.Writer) bool {
		_, err := fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Seal: s\r\nConnection: X-Seal\r\nContent-Length: 5\r\n\r\nwrong", req.Header.Get("X-Id"))
		return err == nil
	}})
	resp, body, err := r.call("/unsafe/x", nil)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(resp.StatusCode).To(Equal(http.StatusBadGateway), body)
}

// Guards against requests on connections that the upstream has announced to close, since its Keep-Alive
// field was removed before the connection was put back.
func TestIdleTimeOfAnUpstreamIsHeeded(t *testing.T) {
	for name, c := range map[string]struct {
		field string
		conns int
	}{"one second": {"Keep-Alive: timeout=1\r\n", 2}, "nothing stated": {"", 1}} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			r := newHarness(t, map[string]script{"u1": func(req *http.Request, w io.Writer) bool {
				_, err := fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Seal: s\r\n%sContent-Length: 2\r\n\r\nok", req.Header.Get("X-Id"), c.field)
				return err == nil
			}})
			for range 2 {
				_, body, err := r.call("/safe/x", nil)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(body).To(Equal("ok"))
				time.Sleep(500 * time.Millisecond) // the pool closes connections 700 ms earlier than the upstream
			}
			r.mu.Lock()
			defer r.mu.Unlock()
			g.Expect(r.conns).To(Equal(c.conns))
		})
	}
}
