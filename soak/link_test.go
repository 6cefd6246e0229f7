package soak

import (
	"bufio"
	"io"
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// echoServer starts a server that echoes its input and returns its address.
func echoServer(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(c, c) }()
		}
	}()
	return l.Addr().String()
}

type lineConn struct {
	net.Conn
	in *bufio.Reader
}

func dialLine(g *WithT, k *Link) *lineConn {
	c, err := net.Dial("tcp", k.Address())
	g.Expect(err).NotTo(HaveOccurred())
	return &lineConn{Conn: c, in: bufio.NewReader(c)}
}

// echo sends a line and returns the line received within the time limit.
func (c *lineConn) echo(within time.Duration) (string, error) {
	_ = c.SetDeadline(time.Now().Add(within))
	if _, err := io.WriteString(c, "hello\n"); err != nil {
		return "", err
	}
	return c.in.ReadString('\n')
}

// Guards against a link that doesn't apply its faults or doesn't stop applying them: soak
// checks would pass or fail for no reason.
func TestLinkFaults(t *testing.T) {
	g := NewWithT(t)
	k, err := NewLink("127.0.0.1", echoServer(t))
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(k.Close)
	c := dialLine(g, k)
	g.Expect(c.echo(10 * time.Second)).To(Equal("hello\n"))

	k.Block(ServerToClient, true)
	_, err = c.echo(50 * time.Millisecond)
	g.Expect(err).To(MatchError(ContainSubstring("timeout")))
	k.Block(ServerToClient, false)
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	g.Expect(c.in.ReadString('\n')).To(Equal("hello\n"), "bytes held back by a blocked direction must arrive")

	k.Stall()
	_, err = c.echo(50 * time.Millisecond)
	g.Expect(err).To(MatchError(ContainSubstring("timeout")))
	newConn := dialLine(g, k)
	g.Expect(newConn.echo(10*time.Second)).To(Equal("hello\n"), "new connections work")

	k.Reset()
	_, err = newConn.echo(10 * time.Second)
	g.Expect(err).To(HaveOccurred())
}
