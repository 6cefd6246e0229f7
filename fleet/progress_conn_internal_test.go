package fleet

import (
	"net"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a transfer that ends as stalled because this process was busy, though the bytes had arrived.
func TestTimeBetweenTwoReadsIsNoStall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		near, far := net.Pipe()
		go func() {
			_, _ = far.Write(make([]byte, 100))
			_ = far.Close()
		}()
		c, err := newProgressConn(near, pullStallTimeout, maxTransferTime)
		g.Expect(err).NotTo(HaveOccurred())
		defer func() { _ = c.Close() }()
		for range 10 {
			n, err := c.Read(make([]byte, 10))
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(n).To(Equal(10))
			time.Sleep(2 * pullStallTimeout)
		}
	})
}
