package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/aspenswitch/aspenswitch/registry"
)

// resetUploads starts an upstream that answers each request before it reads the body, sends a part of a
// response without a length and resets the connection.
func resetUploads(t *testing.T, part string) (address string) {
	config := net.ListenConfig{Control: smallBuffers}
	l, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				req, err := http.ReadRequest(bufio.NewReaderSize(c, 1<<10))
				if err != nil {
					return
				}
				_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Seal: s\r\nContent-Type: text/event-stream\r\n\r\n%s", req.Header.Get("X-Id"), part)
				time.Sleep(50 * time.Millisecond)
				_ = c.(*net.TCPConn).SetLinger(0)
			}()
		}
	}()
	return l.Addr().String()
}

// Guards against a part of a response that callers get as a complete one, since its connection was reset
// while the body of the request was being sent.
func TestResponseThatIsResetDuringTheUploadIsNotComplete(t *testing.T) {
	for name, part := range map[string]string{"short": "id: 1\ndata: 1\n\n", "long": strings.Repeat("id: 1\ndata: 1\n\n", 8<<10)} {
		for _, path := range []string{"/unsafe/", "/stream/"} {
			t.Run(name+path, func(t *testing.T) {
				g := NewWithT(t)
				r := newHarness(t, map[string]script{"u1": ok("")})
				reg := registry.New()
				reg.Put(0, registry.Upstream{ID: "u1", Service: "llm", Address: resetUploads(t, part), Revision: 2})
				r.publish(reg.View(), "k1")
				for range 10 {
					c := r.dial()
					_, _ = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: h\r\nX-Id: 1\r\nX-Key: k1\r\nX-Left: 5000\r\nContent-Length: %d\r\n\r\n", path, 1<<20)
					go func() { _, _ = c.Write(make([]byte, 1<<20)) }()
					_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
					resp, err := http.ReadResponse(c.reader, nil)
					if err != nil || resp.StatusCode != http.StatusOK {
						continue // no response, or a failure
					}
					_, err = io.ReadAll(resp.Body)
					g.Expect(err).To(HaveOccurred(), "the response looks complete")
				}
			})
		}
	}
}
