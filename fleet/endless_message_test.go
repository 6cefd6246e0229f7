package fleet_test

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/aspenswitch/aspenswitch/boottime"
	"github.com/aspenswitch/aspenswitch/feed"
	"github.com/aspenswitch/aspenswitch/fleet"
	"github.com/aspenswitch/aspenswitch/heapcheck"
)

// maxSentBytes ends a test in which the node never closes the connection.
const maxSentBytes = 128 << 20

// endlessMessages are bytes of a peer that never end a message.
var endlessMessages = map[string]struct{ start, unit string }{
	"no line end":     {"", "\xa5"},
	"header lines":    {"", "X: a\r\n"},
	"text of a reply": {"Content-Length: 4294967295\r\n\r\n{\"jsonrpc\":\"2.0\",\"id\":0,\"result\":{\"x\":\"", "a"},
	"list in a reply": {"Content-Length: 4294967295\r\n\r\n{\"jsonrpc\":\"2.0\",\"id\":0,\"result\":[", "1,"},
}

// sendEndless sends a message without an end and returns the number of bytes sent.
func sendEndless(c net.Conn, start, unit string) (sent int) {
	if _, err := c.Write([]byte(start)); err != nil {
		return 0
	}
	block := bytes.Repeat([]byte(unit), (32<<10)/len(unit))
	for sent < maxSentBytes {
		n, err := c.Write(block)
		if sent += n; err != nil {
			break
		}
	}
	return sent
}

// newLoopbackNode returns a node on loopback that has a state.
func newLoopbackNode(t *testing.T) (*fleet.Node, netip.AddrPort) {
	t.Helper()
	g := NewWithT(t)
	transport, err := fleet.Listen("127.0.0.1", 0)
	g.Expect(err).NotTo(HaveOccurred())
	cfg := fleet.DefaultConfig()
	cfg.IP = "127.0.0.1"
	n := fleet.New(cfg, transport, boottime.Now, zerolog.Nop())
	n.Attach(feed.New(feed.DefaultConfig(5*time.Second, 2*time.Second), &source{revision: 1, version: 1}, boottime.Now, zerolog.Nop(), func() bool { return false }, func() {}))
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { defer close(ended); n.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-ended })
	return n, fleet.LocalAddr(transport).Streams
}

// Guards against a peer whose request has no end: each of eight at a time held what arrives in two seconds.
func TestEndlessRequestForTheState(t *testing.T) {
	for name, c := range endlessMessages {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			_, at := newLoopbackNode(t)
			conn, err := net.Dial("tcp", at.String())
			g.Expect(err).NotTo(HaveOccurred())
			defer func() { _ = conn.Close() }()
			started := time.Now()
			sent := 0
			allocated := heapcheck.Allocated(func() { sent = sendEndless(conn, c.start, c.unit) })
			t.Logf("%d bytes sent in %v, %d allocated", sent, time.Since(started), allocated)
			g.Expect(time.Since(started)).To(BeNumerically("<", time.Second))
			g.Expect(allocated).To(BeNumerically("<", 1<<20))
		})
	}
}

// Guards against a peer whose reply has no end.
func TestEndlessStateOfAPeer(t *testing.T) {
	for name, c := range endlessMessages {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			n, _ := newLoopbackNode(t)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			g.Expect(err).NotTo(HaveOccurred())
			defer func() { _ = l.Close() }()
			go func() {
				conn, err := l.Accept()
				if err != nil {
					return
				}
				defer func() { _ = conn.Close() }()
				sendEndless(conn, c.start, c.unit)
			}()
			started := time.Now()
			peak := heapcheck.Peak(func() { err = n.Pull(netip.MustParseAddrPort(l.Addr().String())) })
			t.Logf("heap grew by %d bytes in %v: %v", peak, time.Since(started), err)
			var tooLarge *fleet.MessageTooLargeError
			g.Expect(errors.As(err, &tooLarge)).To(BeTrue(), "%v", err)
			g.Expect(peak).To(BeNumerically("<", 4*fleet.MaxStateBytes))
			g.Expect(time.Since(started)).To(BeNumerically("<", fleet.MaxTransferTime))
		})
	}
}
