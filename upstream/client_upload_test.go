package upstream_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/aspenswitch/aspenswitch/upstream"
)

// Guards against a part of a response that counts as complete at the own API's client because its
// connection was reset while the request was being written.
func TestClientResponseThatIsResetDuringTheUpload(t *testing.T) {
	for name, c := range map[string]struct {
		end      func(c *net.TCPConn, body io.Reader)
		complete bool
	}{
		"reset":                   {func(c *net.TCPConn, _ io.Reader) { _ = c.SetLinger(0); _ = c.Close() }, false},
		"closed with unread data": {func(c *net.TCPConn, _ io.Reader) { _ = c.Close() }, false},
		"half closed, then reset": {func(c *net.TCPConn, _ io.Reader) {
			_ = c.CloseWrite()
			time.Sleep(100 * time.Millisecond)
			_ = c.Close()
		}, false},
		"read to the end": {func(c *net.TCPConn, body io.Reader) {
			_, _ = io.Copy(io.Discard, body)
			_ = c.Close()
		}, true},
	} {
		t.Run(name, func(t *testing.T) {
			for range 10 {
				g := NewWithT(t)
				got := make(chan struct{})
				s := serve(t, func(conn net.Conn, r *bufio.Reader) {
					req, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\npart")
					<-got
					c.end(conn.(*net.TCPConn), req.Body)
				})
				client := upstream.NewClient(upstream.DefaultConfig())
				ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
				req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.listener.Addr().String()+"/", strings.NewReader(strings.Repeat("x", 8<<20)))
				g.Expect(err).NotTo(HaveOccurred())
				resp, err := client.Do(req, false)
				g.Expect(err).NotTo(HaveOccurred())
				_, err = io.ReadFull(resp.Body, make([]byte, 4))
				g.Expect(err).NotTo(HaveOccurred())
				close(got)
				time.Sleep(20 * time.Millisecond) // the write has failed
				_, err = io.ReadAll(resp.Body)
				g.Expect(err == nil).To(Equal(c.complete), "%v", err)
				_ = resp.Body.Close()
				client.Close()
				cancel()
			}
		})
	}
}
