package fleet_test

import (
	"context"
	"net/netip"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/aspenswitch/aspenswitch/fleet"
)

// Guards against datagrams or streams that don't arrive, and against Receive and Accept calls
// that block after Close.
func TestSocketsCarryDatagramsAndStreams(t *testing.T) {
	g := NewWithT(t)
	one, err := fleet.Listen("127.0.0.1", 0)
	g.Expect(err).NotTo(HaveOccurred())
	two, err := fleet.Listen("127.0.0.1", 0)
	g.Expect(err).NotTo(HaveOccurred())
	at := fleet.LocalAddr(two)
	g.Expect(one.Send(at.Datagrams, []byte("word"))).To(Succeed())
	buf := make([]byte, 16)
	size, from, err := two.Receive(buf)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(buf[:size])).To(Equal("word"))
	g.Expect(from.Addr()).To(Equal(netip.MustParseAddr("127.0.0.1")))

	near, err := one.Dial(context.Background(), at.Streams)
	g.Expect(err).NotTo(HaveOccurred())
	far, err := two.Accept()
	g.Expect(err).NotTo(HaveOccurred())
	_, err = near.Write([]byte("state"))
	g.Expect(err).NotTo(HaveOccurred())
	size, err = far.Read(buf)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(buf[:size])).To(Equal("state"))
	g.Expect(near.Close()).To(Succeed())
	g.Expect(far.Close()).To(Succeed())

	g.Expect(two.Close()).To(Succeed())
	_, _, err = two.Receive(buf)
	g.Expect(err).To(HaveOccurred())
	_, err = two.Accept()
	g.Expect(err).To(HaveOccurred())
	g.Expect(one.Close()).To(Succeed())
}
