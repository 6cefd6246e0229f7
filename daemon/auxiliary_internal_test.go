package daemon

import (
	"bytes"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/aspenswitch/aspenswitch/heapcheck"
)

// Guards against requests without an end at the readiness, control and metrics listeners.
func TestEndlessRequestAtAnAuxiliaryListener(t *testing.T) {
	for name, c := range map[string]struct{ start, unit string }{
		"request line": {"GET /", "a"},
		"header line":  {"GET / HTTP/1.1\r\nHost: h\r\nX: ", "a"},
		"header lines": {"GET / HTTP/1.1\r\nHost: h\r\n", "X: a\r\n"},
		"body":         {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000000\r\n\r\n", "a"},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			g.Expect(err).NotTo(HaveOccurred())
			defer func() { _ = l.Close() }()
			go (&FleetDaemon{}).serveAuxiliary(l, http.NewServeMux())
			conn, err := net.Dial("tcp", l.Addr().String())
			g.Expect(err).NotTo(HaveOccurred())
			defer func() { _ = conn.Close() }()
			started := time.Now()
			allocated := heapcheck.Allocated(func() {
				_, err = conn.Write([]byte(c.start))
				block := bytes.Repeat([]byte(c.unit), (32<<10)/len(c.unit))
				for sent := 0; err == nil && sent < 128<<20; sent += len(block) {
					_, err = conn.Write(block)
				}
			})
			t.Logf("%d bytes allocated in %v: %v", allocated, time.Since(started), err)
			g.Expect(err).To(HaveOccurred(), "the connection must be closed")
			g.Expect(time.Since(started)).To(BeNumerically("<", auxReadTimeout+time.Second))
			g.Expect(allocated).To(BeNumerically("<", 1<<20))
		})
	}
}
