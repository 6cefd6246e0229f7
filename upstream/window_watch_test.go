package upstream_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"golang.org/x/sys/unix"

	"github.com/aspenswitch/aspenswitch/upstream"
)

// smallWindow gives a listener the segment size of an Ethernet and a small receive buffer, so that the
// window closes if a long body isn't read.
func smallWindow(_, _ string, c syscall.RawConn) error {
	var setErr error
	err := c.Control(func(fd uintptr) {
		setErr = errors.Join(
			unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_MAXSEG, 1460),
			unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, 8<<10),
		)
	})
	return errors.Join(err, setErr)
}

// Guards against ending the connection of an upstream that reads a long body late, which is neither told
// nor broken: its response would be cut, or its request sent to a second upstream while it runs.
func TestUpstreamMayReadALongBodyLate(t *testing.T) {
	for _, size := range []int{100 << 10, 400 << 10, 2 << 20} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			config := net.ListenConfig{Control: smallWindow}
			l, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
			g.Expect(err).NotTo(HaveOccurred())
			defer func() { _ = l.Close() }()
			bodies := make(chan int, 1)
			go func() {
				c, err := l.Accept()
				if err != nil {
					return
				}
				defer func() { _ = c.Close() }()
				req, err := http.ReadRequest(bufio.NewReaderSize(c, 1<<10))
				if err != nil {
					return
				}
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nfirst\r\n")
				time.Sleep(4 * time.Second)
				n, _ := io.Copy(io.Discard, req.Body)
				bodies <- int(n)
				_, _ = io.WriteString(c, "4\r\nlast\r\n0\r\n\r\n")
			}()
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			resp, err := newPool(t).Do(ctx, &upstream.Request{
				Address: l.Addr().String(), Method: http.MethodPost, URI: "/", Host: "h", Header: http.Header{"Id": {"1"}}, Body: []byte(strings.Repeat("x", size)), IDHeader: "Id", ID: "1",
			})
			g.Expect(err).NotTo(HaveOccurred())
			defer resp.Close()
			body, err := io.ReadAll(resp)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(string(body)).To(Equal("firstlast"))
			g.Expect(<-bodies).To(Equal(size))
		})
	}
}
