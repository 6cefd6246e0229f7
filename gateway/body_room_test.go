package gateway_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"golang.org/x/sys/unix"

	"github.com/aspenswitch/aspenswitch/gateway"
	"github.com/aspenswitch/aspenswitch/registry"
)

// smallBuffers gives a listener the segment size of an Ethernet and a small receive buffer. On loopback,
// the buffers of the kernel would otherwise take in whole bodies that nobody reads.
func smallBuffers(_, _ string, c syscall.RawConn) error {
	var setErr error
	err := c.Control(func(fd uintptr) {
		setErr = errors.Join(
			unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_MAXSEG, 1460),
			unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, 8<<10),
		)
	})
	return errors.Join(err, setErr)
}

// answerUnread starts an upstream that answers each request at once, with a response that doesn't end,
// and reads no body.
func answerUnread(t *testing.T) (address string) {
	config := net.ListenConfig{Control: smallBuffers}
	l, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	done := make(chan struct{})
	t.Cleanup(func() {
		close(done)
		_ = l.Close()
	})
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
				_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Seal: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n9\r\ndata: 1\n\n\r\n", req.Header.Get("X-Id"))
				<-done
			}()
		}
	}()
	return l.Addr().String()
}

// Guards against bodies that are still being sent and whose room is given to other requests, since their
// responses have begun.
func TestBodyTakesItsRoomUntilItIsSent(t *testing.T) {
	const bodyBytes, requests, uploads = 1 << 20, 96, 12
	g := NewWithT(t)
	r := newHarnessWith(t, map[string]script{"u1": ok("")}, func(cfg *gateway.Config) { cfg.MaxRequests = requests })
	reg := registry.New()
	reg.Put(0, registry.Upstream{ID: "u1", Service: "llm", Address: answerUnread(t), Revision: 2})
	r.publish(reg.View(), "k1")
	upload := func() (status int) {
		c := r.dial()
		_, _ = fmt.Fprintf(c, "POST /stream/ HTTP/1.1\r\nHost: h\r\nX-Id: 1\r\nX-Key: k1\r\nX-Left: 5000\r\nContent-Length: %d\r\n\r\n", bodyBytes)
		go func() { _, _ = c.Write(make([]byte, bodyBytes)) }()
		_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
		resp, err := http.ReadResponse(c.reader, nil)
		g.Expect(err).NotTo(HaveOccurred())
		if resp.StatusCode == http.StatusOK {
			_, err = io.ReadFull(resp.Body, make([]byte, len("data: 1\n\n")))
			g.Expect(err).NotTo(HaveOccurred())
		}
		return resp.StatusCode
	}
	pending := 0
	for range uploads {
		if upload() == http.StatusOK {
			pending++
		}
	}
	g.Expect(pending).To(BeNumerically(">", 0))
	g.Expect(pending * bodyBytes).To(BeNumerically("<=", requests*gateway.RequestBytes))
	g.Eventually(upload, 10*time.Second, 200*time.Millisecond).Should(Equal(http.StatusOK), "requests that have ended give their room back")
}
