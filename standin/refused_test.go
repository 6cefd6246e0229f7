package standin_test

import (
	"errors"
	"net"
	"syscall"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/aspenswitch/aspenswitch/standin"
)

// Tests of unreachable upstreams run at the same time as other processes that request ports. A
// refused address must keep refusing connections and must not be assigned to another process.
func TestRefusedAddressIsHeld(t *testing.T) {
	g := NewWithT(t)
	address, release, err := standin.RefusedAddress()
	g.Expect(err).NotTo(HaveOccurred())
	_, err = net.Dial("tcp", address)
	g.Expect(errors.Is(err, syscall.ECONNREFUSED)).To(BeTrue(), "%v", err)
	_, err = net.Listen("tcp", address)
	g.Expect(errors.Is(err, syscall.EADDRINUSE)).To(BeTrue(), "%v", err)
	release()
	l, err := net.Listen("tcp", address)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(l.Close()).To(Succeed())
}
