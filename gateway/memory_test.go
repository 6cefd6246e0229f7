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
	"github.com/aspenswitch/aspenswitch/upstream"
)

// memoryInUse returns the bytes used by the process's heap objects and stacks.
func memoryInUse() int64 {
	runtime.GC()
	runtime.GC() // the second collection empties sync.Pools
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}

// silentUpstream reads requests without responding, and uses almost no memory.
type silentUpstream struct {
	l         net.Listener
	bytesRead atomic.Int64
	// partial, if not empty, is sent once partialAfter bytes of a request have been read.
	partial      string
	partialAfter int
	partialsSent atomic.Int64
}

func newSilentUpstream(t *testing.T) *silentUpstream {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = l.Close() })
	m := &silentUpstream{l: l}
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

func (m *silentUpstream) drain(c net.Conn) {
	defer func() { _ = c.Close() }()
	var buf [512]byte
	for total := 0; ; {
		n, err := c.Read(buf[:])
		m.bytesRead.Add(int64(n))
		if err != nil {
			return
		}
		if m.partial != "" && total < m.partialAfter && total+n >= m.partialAfter {
			if _, err := io.WriteString(c, m.partial); err != nil {
				return
			}
			m.partialsSent.Add(1)
		}
		total += n
	}
}

// Guards against connections and pending requests that use more memory than Config.Fit
// assumes. A flood would then get the process killed, with all its requests.
func TestMemoryOfConnectionsAndWaitingRequests(t *testing.T) {
	g := NewWithT(t)
	const conns, size = 300, 18000
	r := newHarness(t, map[string]script{"u1": ok("done")})
	silent := newSilentUpstream(t)
	raw := func(path string, size int) string {
		return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nX-Id: 1\r\nX-Key: k1\r\nX-Left: 60000\r\nContent-Length: %d\r\n\r\n%s", path, size, strings.Repeat("x", size))
	}
	all := make([]net.Conn, conns)
	empty := memoryInUse()
	for i := range all {
		all[i] = requestOnce(t, r.addr, raw("/safe/", 5))
	}
	idle := memoryInUse()
	perConn := (idle - empty) / conns

	reg := registry.New()
	reg.Put(0, registry.Upstream{ID: "u1", Service: "llm", Address: silent.l.Addr().String(), Revision: 2})
	r.publish(reg.View(), "k1")
	body := raw("/unsafe/", size)
	for _, c := range all {
		_, err := io.WriteString(c, body)
		g.Expect(err).NotTo(HaveOccurred())
	}
	g.Eventually(silent.bytesRead.Load, 2*time.Second, time.Millisecond).Should(BeNumerically(">=", conns*size))
	perRequest := (memoryInUse() - idle) / conns
	t.Logf("an idle connection takes %d bytes, a waiting request %d more", perConn, perRequest)
	g.Expect(perConn).To(BeNumerically("<", gateway.ConnBytes))
	g.Expect(perRequest).To(BeNumerically("<", gateway.RequestBytes))
}

// Guards against incomplete headers of responses that take more memory than Config.Fit assumes for
// the pending requests.
func TestMemoryOfIncompleteResponseHeaders(t *testing.T) {
	g := NewWithT(t)
	const conns, size = 300, 18000
	r := newHarness(t, map[string]script{"u1": ok("done")})
	silent := newSilentUpstream(t)
	silent.partial = "HTTP/1.1 200 OK\r\nX: " + strings.Repeat("a", int(upstream.DefaultPoolConfig().MaxHeaderBytes)-100)
	silent.partialAfter = size
	raw := func(size int) string {
		return fmt.Sprintf("POST /unsafe/ HTTP/1.1\r\nHost: h\r\nX-Id: 1\r\nX-Key: k1\r\nX-Left: 60000\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("x", size))
	}
	all := make([]net.Conn, conns)
	for i := range all {
		all[i] = requestOnce(t, r.addr, raw(5))
	}
	idle := memoryInUse()
	reg := registry.New()
	reg.Put(0, registry.Upstream{ID: "u1", Service: "llm", Address: silent.l.Addr().String(), Revision: 2})
	r.publish(reg.View(), "k1")
	for _, c := range all {
		_, err := io.WriteString(c, raw(size))
		g.Expect(err).NotTo(HaveOccurred())
	}
	g.Eventually(silent.partialsSent.Load, time.Second, time.Millisecond).Should(BeNumerically("==", conns))
	time.Sleep(100 * time.Millisecond)
	perRequest := (memoryInUse() - idle) / conns
	t.Logf("a pending request with an incomplete header takes %d bytes", perRequest)
	g.Expect(perRequest).To(BeNumerically("<", gateway.RequestBytes))
}

// Guards against limits that together exceed the memory of the VM, so that its process is killed in
// a flood of connections.
func TestMemoryOfAllPartsFitsTheVM(t *testing.T) {
	g := NewWithT(t)
	for _, vm := range []struct {
		megabytes int64
		files     int
	}{{88, 4100}, {112, 4100}, {134, 4100}, {144, 4100}, {284, 4100}, {536, 8192}} {
		memory := vm.megabytes << 20
		cfg := gateway.DefaultConfig()
		cfg.Fit(memory, vm.files)
		unread := int64(cfg.MaxConns+cfg.ListenBacklog) * gateway.UnreadBytes
		g.Expect(cfg.RuntimeMemory+unread+gateway.ProgramBytes).To(BeNumerically("<=", memory), "%d MB", vm.megabytes)
		held := int64(cfg.MaxConns)*gateway.ConnBytes + int64(cfg.MaxRequests)*gateway.RequestBytes
		g.Expect(held).To(BeNumerically("<=", cfg.RuntimeMemory), "%d MB", vm.megabytes)
		t.Logf("%d MB: %d for the Go runtime, %d connections, %d requests, %d waiting", vm.megabytes, cfg.RuntimeMemory>>20, cfg.MaxConns, cfg.MaxRequests, cfg.ListenBacklog)
	}
}

// requestOnce opens a connection, reads a response to one request, and leaves it open.
func requestOnce(t *testing.T, addr, raw string) net.Conn {
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
