package gateway_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/aspenswitch/aspenswitch/gateway"
)

const (
	// floodConns is how many callers connect at once, each with a long prompt.
	floodConns = 5000
	// smallMemory and smallFiles are those of a small VM.
	smallMemory, smallFiles = 112 << 20, 4100
	// dialFor is how long a caller waits for a connection: one that finds the queue full
	// is tried again by its system after a second.
	dialFor = 3 * time.Second
)

// Guards against a flood of connections that ends a small router for its memory.
func TestConnectionsStayWithinTheMemory(t *testing.T) {
	g := NewWithT(t)
	r := newRigOf(t, map[string]script{"u1": ok("done")}, func(cfg *gateway.Config) {
		cfg.Fit(smallMemory, smallFiles)
	})
	raw := fmt.Sprintf("POST /unsafe/ HTTP/1.1\r\nHost: h\r\nX-Id: 1\r\nX-Key: k1\r\nX-Left: 60000\r\nContent-Length: 18000\r\n\r\n%s", strings.Repeat("x", 9000))
	held := make(chan net.Conn, floodConns)
	var answered, unconnected atomic.Int64
	var over sync.WaitGroup
	for range floodConns {
		over.Go(func() {
			c, err := openUnlessRefused(r.addr, raw, &answered)
			if c != nil {
				held <- c
			}
			if err != nil {
				unconnected.Add(1)
			}
		})
	}
	over.Wait()
	close(held)
	t.Logf("%d held, %d answered, %d got no connection", len(held), answered.Load(), unconnected.Load())
	half := smallMemory / 2 / (gateway.ConnBytes + gateway.UnreadBytes)
	g.Expect(len(held)).To(BeNumerically("<=", half))
	g.Expect(r.server.Load().OpenConnections).To(BeNumerically("<=", half))
	// The others had an answer, but for those whose request was still on its way.
	g.Expect(answered.Load()).To(BeNumerically(">", floodConns/2))
	for c := range held {
		_ = c.Close()
	}
	g.Eventually(func() int64 { return r.server.Load().OpenConnections }, 10*time.Second).Should(BeZero())
	resp, body, err := r.call("/unsafe/", nil)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(resp.StatusCode).To(Equal(http.StatusOK))
	g.Expect(body).To(Equal("done"))
}

// Guards against callers that are turned away because nobody looked at an empty queue.
func TestCallersAfterAQuietWhileAreServed(t *testing.T) {
	g := NewWithT(t)
	r := newRig(t, map[string]script{"u1": ok("done")})
	const callers, quiet = 20, 100 * time.Millisecond
	for range 5 {
		time.Sleep(quiet)
		var over sync.WaitGroup
		var served atomic.Int64
		for range callers {
			over.Go(func() {
				if resp, _, err := r.call("/unsafe/", nil); err == nil && resp.StatusCode == http.StatusOK {
					served.Add(1)
				}
			})
		}
		over.Wait()
		g.Expect(served.Load()).To(BeNumerically("==", callers))
	}
	g.Expect(r.server.Load().RejectedConnections).To(BeZero())
}

// openUnlessRefused connects and sends; it returns the connection unless that was refused,
// and counts the answers that tell the caller to go to another router. It fails if there
// was no connection.
func openUnlessRefused(addr, raw string, answered *atomic.Int64) (net.Conn, error) {
	c, err := net.DialTimeout("tcp", addr, dialFor)
	if err != nil {
		return nil, err
	}
	_, err = io.WriteString(c, raw)
	if err == nil {
		_ = c.SetReadDeadline(time.Now().Add(dialFor))
		err = readBusy(c, answered)
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return c, nil
	}
	_ = c.Close()
	return nil, nil
}

func readBusy(c net.Conn, answered *atomic.Int64) error {
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return err
	}
	if resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get("Retry-After") != "" {
		answered.Add(1)
	}
	return resp.Body.Close()
}
