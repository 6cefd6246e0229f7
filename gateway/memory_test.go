package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/aspenswitch/aspenswitch/gateway"
	"github.com/aspenswitch/aspenswitch/registry"
)

// inUse is the memory of the process's objects and stacks.
func inUse() int64 {
	runtime.GC()
	runtime.GC() // a second pass empties the pools
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}

// mute is an upstream that reads and says nothing, and takes next to no memory.
type mute struct {
	l    net.Listener
	read atomic.Int64
}

func newMute(t *testing.T) *mute {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = l.Close() })
	m := &mute{l: l}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go m.drain(c)
		}
	}()
	return m
}

func (m *mute) drain(c net.Conn) {
	defer func() { _ = c.Close() }()
	var buf [512]byte
	for {
		n, err := c.Read(buf[:])
		m.read.Add(int64(n))
		if err != nil {
			return
		}
	}
}

// The bounds that keep a router within its memory (Config.Fit) assume what a
// connection and a waiting request take. If they took more, a flood would end the
// process, and every request in it.
func TestMemoryOfConnectionsAndWaitingRequests(t *testing.T) {
	g := NewWithT(t)
	const conns, size = 300, 18000
	r := newRig(t, map[string]script{"u1": ok("done")})
	silent := newMute(t)
	ask := func(path string, size int) string {
		return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nX-Id: 1\r\nX-Key: k1\r\nX-Left: 60000\r\nContent-Length: %d\r\n\r\n%s", path, size, strings.Repeat("x", size))
	}
	all := make([]net.Conn, conns)
	empty := inUse()
	for i := range all {
		all[i] = askOnce(t, r.addr, ask("/safe/", 5))
	}
	idle := inUse()
	perConn := (idle - empty) / conns

	reg := registry.New()
	reg.Put(0, registry.Upstream{ID: "u1", Service: "llm", Address: silent.l.Addr().String(), Revision: 2})
	r.publish(reg.View(), "k1")
	body := ask("/unsafe/", size)
	for _, c := range all {
		_, err := io.WriteString(c, body)
		g.Expect(err).NotTo(HaveOccurred())
	}
	g.Eventually(silent.read.Load, 2*time.Second, time.Millisecond).Should(BeNumerically(">=", conns*size))
	perRequest := (inUse() - idle) / conns
	t.Logf("an idle connection takes %d bytes, a waiting request %d more", perConn, perRequest)
	g.Expect(perConn).To(BeNumerically("<", gateway.ConnBytes))
	g.Expect(perRequest).To(BeNumerically("<", gateway.RequestBytes))
}

// askOnce opens a connection, gets an answer, and leaves it open.
func askOnce(t *testing.T, addr, raw string) net.Conn {
	t.Helper()
	g := NewWithT(t)
	c, err := net.Dial("tcp", addr)
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = c.Close() })
	_, err = io.WriteString(c, raw)
	g.Expect(err).NotTo(HaveOccurred())
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	g.Expect(err).NotTo(HaveOccurred())
	_, err = io.Copy(io.Discard, resp.Body)
	g.Expect(err).NotTo(HaveOccurred())
	return c
}
