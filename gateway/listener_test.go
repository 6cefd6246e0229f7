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
	// floodConns is the number of callers that connect at once, each with a long prompt.
	floodConns = 5000
	// smallMemory, in bytes, and smallFiles, the number of descriptors, are those of a
	// small VM.
	smallMemory, smallFiles = 112 << 20, 4100
	// dialTimeout allows for a retransmission: a connection attempt that finds the accept
	// queue full is repeated by the caller's kernel after a second.
	dialTimeout = 3 * time.Second
)

// Guards against a flood of connections that gets the process of a small VM killed for its
// memory use.
func TestConnectionsStayWithinTheMemory(t *testing.T) {
	g := NewWithT(t)
	r := newHarnessWith(t, map[string]script{"u1": ok("done")}, func(cfg *gateway.Config) {
		cfg.Fit(smallMemory, smallFiles)
	})
	raw := fmt.Sprintf("POST /unsafe/ HTTP/1.1\r\nHost: h\r\nX-Id: 1\r\nX-Key: k1\r\nX-Left: 60000\r\nContent-Length: 18000\r\n\r\n%s", strings.Repeat("x", 9000))
	openConns := make(chan net.Conn, floodConns)
	var answered, unconnected atomic.Int64
	var wg sync.WaitGroup
	for range floodConns {
		wg.Go(func() {
			c, err := openUnlessRefused(r.addr, raw, &answered)
			if c != nil {
				openConns <- c
			}
			if err != nil {
				unconnected.Add(1)
			}
		})
	}
	wg.Wait()
	close(openConns)
	t.Logf("%d open, %d answered, %d not connected, %d closed without an answer", len(openConns), answered.Load(), unconnected.Load(),
		floodConns-int64(len(openConns))-answered.Load()-unconnected.Load())
	half := smallMemory / 2 / (gateway.ConnBytes + gateway.UnreadBytes)
	g.Expect(len(openConns)).To(BeNumerically("<=", half))
	g.Expect(r.server.Load().OpenConnections).To(BeNumerically("<=", half))
	// The others received a response, except those whose request had not arrived yet.
	g.Expect(answered.Load()).To(BeNumerically(">", floodConns/2))
	for c := range openConns {
		_ = c.Close()
	}
	g.Eventually(func() int64 { return r.server.Load().OpenConnections }, 10*time.Second).Should(BeZero())
	resp, body, err := r.call("/unsafe/", nil)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(resp.StatusCode).To(Equal(http.StatusOK))
	g.Expect(body).To(Equal("done"))
}

// Guards against more connections than the memory bears, from callers that send only a part of a
// request, so that the limit on requests doesn't apply.
func TestConnectionsWithoutARequestStayWithinTheMemory(t *testing.T) {
	g := NewWithT(t)
	const memory, callers = 8 << 20, 400
	r := newHarnessWith(t, map[string]script{"u1": ok("done")}, func(cfg *gateway.Config) { cfg.Fit(memory, smallFiles) })
	var wg sync.WaitGroup
	for range callers {
		wg.Go(func() {
			c, err := net.DialTimeout("tcp", r.addr, dialTimeout)
			if err != nil {
				return
			}
			_, _ = io.WriteString(c, "POST /unsafe/ HTTP/1.1\r\n") // it may have been refused already
			_ = c.SetReadDeadline(time.Now().Add(dialTimeout))
			_, _ = io.Copy(io.Discard, c)
			_ = c.Close()
		})
	}
	ended := make(chan struct{})
	go func() {
		wg.Wait()
		close(ended)
	}()
	most := int64(0)
	for running := true; running; {
		select {
		case <-ended:
			running = false
		case <-time.After(time.Millisecond):
			most = max(most, r.server.Load().OpenConnections)
		}
	}
	t.Logf("%d connections at most", most)
	g.Expect(most).To(BeNumerically(">", 0))
	g.Expect(most).To(BeNumerically("<=", memory/2/(gateway.ConnBytes+gateway.UnreadBytes)))
}

// Guards against callers that are told to come back to a router that leaves the load balancer before
// others get their connections.
func TestRefusedCallersReturnOnceARouterHasLeft(t *testing.T) {
	for _, out := range []bool{false, true} {
		g := NewWithT(t)
		r := newHarnessWith(t, map[string]script{"u1": ok("done")}, func(cfg *gateway.Config) {
			cfg.MaxConns, cfg.OutOfRotation = 1, func() bool { return out }
		})
		held, err := net.Dial("tcp", r.addr)
		g.Expect(err).NotTo(HaveOccurred())
		g.Eventually(func() int64 { return r.server.Load().OpenConnections }).Should(Equal(int64(1)))
		resp, _, err := r.call("/safe/", nil)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(resp.StatusCode).To(Equal(http.StatusServiceUnavailable))
		g.Expect(resp.Header.Get("Retry-After")).To(Equal(map[bool]string{false: "0.05", true: "1.00"}[out]))
		g.Expect(held.Close()).To(Succeed())
	}
}

// openUnlessRefused connects and sends the request. It returns the connection unless it was
// refused, counts the refusals that have a response with Retry-After, and returns an error
// if it could not connect.
func openUnlessRefused(addr, raw string, answered *atomic.Int64) (net.Conn, error) {
	c, err := net.DialTimeout("tcp", addr, dialTimeout)
	if err != nil {
		return nil, err
	}
	_, err = io.WriteString(c, raw)
	if err == nil {
		_ = c.SetReadDeadline(time.Now().Add(dialTimeout))
		err = readRefusal(c, answered)
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return c, nil
	}
	_ = c.Close()
	return nil, nil
}

func readRefusal(c net.Conn, answered *atomic.Int64) error {
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return err
	}
	if resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get("Retry-After") != "" {
		answered.Add(1)
	}
	return resp.Body.Close()
}
