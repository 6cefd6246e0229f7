package upstream

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"golang.org/x/sys/unix"
)

// Guards against a watch that ends while all that was written has been acknowledged and more of the body
// is still to be written.
func TestWindowIsWatchedUntilTheBodyIsWritten(t *testing.T) {
	g := NewWithT(t)
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		var setErr error
		err := c.Control(func(fd uintptr) {
			setErr = errors.Join(
				unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_MAXSEG, 1460),
				unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, 8<<10),
			)
		})
		return errors.Join(err, setErr)
	}}
	l, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = l.Close() }()
	pool := NewPool(DefaultPoolConfig())
	dialer := net.Dialer{Control: pool.setUserTimeout}
	conn, err := dialer.DialContext(t.Context(), "tcp", l.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = conn.Close() }()
	peer, err := l.Accept()
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = peer.Close() }()

	const size = 400 << 10
	start := make(chan struct{})
	body := startBody(writerFunc(func(b []byte) (int, error) {
		<-start
		return conn.Write(b)
	}), make([]byte, size), func() {})
	watch := pool.watchWindow(&poolConn{Conn: conn}, body)
	defer watch.stop()
	time.Sleep(2 * probeInterval(pool.cfg.TCPUserTimeout)) // nothing waits to be acknowledged
	close(start)
	time.Sleep(2*pool.cfg.TCPUserTimeout + time.Second)
	n, err := io.CopyN(io.Discard, peer, size)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(n).To(BeEquivalentTo(size))
	g.Expect(body.wait()).To(Succeed())
}

type writerFunc func(b []byte) (int, error)

func (f writerFunc) Write(b []byte) (int, error) { return f(b) }
