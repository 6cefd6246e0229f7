package gateway

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"golang.org/x/sys/unix"
)

// awaitDelivery waits until all data written to a connection has arrived at the other end.
func awaitDelivery(g *WithT, c net.Conn) {
	raw, err := c.(*net.TCPConn).SyscallConn()
	g.Expect(err).NotTo(HaveOccurred())
	g.Eventually(func() (unsent int) {
		g.Expect(raw.Control(func(fd uintptr) { unsent, err = unix.IoctlGetInt(int(fd), unix.TIOCOUTQ) })).To(Succeed())
		g.Expect(err).NotTo(HaveOccurred())
		return unsent
	}, 10*time.Second, time.Millisecond).Should(BeZero())
}

// Guards against callers whose connections are closed without a response while the listener can't
// accept them. They would reconnect at once.
func TestRefusedCallersGetAResponse(t *testing.T) {
	g := NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = l.Close() })
	queue, err := newListenQueue(l)
	g.Expect(err).NotTo(HaveOccurred())
	const callers = 50
	conns := make([]net.Conn, callers)
	for i := range conns {
		conns[i], err = net.Dial("tcp", l.Addr().String())
		g.Expect(err).NotTo(HaveOccurred())
		t.Cleanup(func() { _ = conns[i].Close() })
		_, err = io.WriteString(conns[i], "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 18000\r\n\r\n")
		g.Expect(err).NotTo(HaveOccurred())
		awaitDelivery(g, conns[i])
	}
	refused, err := queue.refuse(busyRefusal().rawResponse(), callers+1)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(refused).To(Equal(callers))
	for _, c := range conns {
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(resp.StatusCode).To(Equal(http.StatusServiceUnavailable))
		g.Expect(resp.Header.Get("Retry-After")).NotTo(BeEmpty())
		g.Expect(resp.Body.Close()).To(Succeed())
	}
}
