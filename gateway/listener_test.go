package gateway_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
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
)

// Thousands of callers connect to a small router at once and send long prompts, faster than
// it can answer. Without a bound it holds them all, is ended for its memory, and thousands
// of callers see a connection that breaks and then nobody (a process of 112 MB ended with
// 2,416 connections open and a heap of 46 MB; the rest were stacks and unread bytes). Now
// it holds what half of its memory bears, closes the others unread, and takes new ones
// once there is room again.
func TestConnectionsStayWithinTheMemory(t *testing.T) {
	g := NewWithT(t)
	r := newRigOf(t, map[string]script{"u1": ok("done")}, func(cfg *gateway.Config) {
		cfg.Fit(smallMemory, smallFiles)
		cfg.Shed.Lag, cfg.Shed.All = time.Hour, time.Hour
	})
	raw := fmt.Sprintf("POST /unsafe/ HTTP/1.1\r\nHost: h\r\nX-Id: 1\r\nX-Key: k1\r\nX-Left: 60000\r\nContent-Length: 18000\r\n\r\n%s", strings.Repeat("x", 9000))
	all := make([]net.Conn, 0, floodConns)
	for range floodConns {
		c, err := net.Dial("tcp", r.addr)
		g.Expect(err).NotTo(HaveOccurred())
		all = append(all, c)
		// A connection that was closed unread may break here.
		_, _ = io.WriteString(c, raw)
	}
	half := smallMemory / 2 / (gateway.ConnBytes + gateway.UnreadBytes)
	g.Eventually(func() int64 { l := r.server.Load(); return l.Opened + l.Closed }, 10*time.Second).Should(BeNumerically("==", floodConns))
	l := r.server.Load()
	g.Expect(l.Connections).To(BeNumerically("<=", half))
	g.Expect(l.Connections).To(BeNumerically(">", half/2))
	for _, c := range all {
		_ = c.Close()
	}
	g.Eventually(func() int64 { return r.server.Load().Connections }, 10*time.Second).Should(BeZero())
	resp, body, err := r.call("/unsafe/", nil)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(resp.StatusCode).To(Equal(http.StatusOK))
	g.Expect(body).To(Equal("done"))
}
