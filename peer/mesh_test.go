package peer_test

import (
	"net"
	"sync"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/aspenswitch/aspenswitch/peer"
)

// A router stops while a peer connects and the list of VMs changes. Goroutines started
// by these must end before Close returns or must not start at all; one that outlives
// Close would send messages for a router that has stopped.
func TestCloseBesideNewConnectionsAndLinks(t *testing.T) {
	g := NewWithT(t)
	for range 300 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		g.Expect(err).NotTo(HaveOccurred())
		address := l.Addr().String()
		m := peer.NewMesh(peer.DefaultConfig(nil, zerolog.Nop()), l)
		var wg sync.WaitGroup
		wg.Go(m.Serve)
		wg.Go(func() { m.SetAddresses(map[string]string{"a": address}) })
		wg.Go(func() {
			if c, err := net.Dial("tcp", address); err == nil {
				_ = c.Close()
			}
		})
		m.Close()
		wg.Wait()
	}
}
