package fleet

import (
	"context"
	"net"
	"net/netip"
)

// Transport carries messages between routers. Its methods may be called by many
// goroutines.
type Transport interface {
	// Send sends a datagram. It may be lost, doubled or late; one that fails counts
	// as lost.
	Send(to netip.AddrPort, datagram []byte) error
	// Receive waits for a datagram. It returns its size and sender, and fails once
	// the transport is closed.
	Receive(into []byte) (int, netip.AddrPort, error)
	// Dial opens a stream to a peer, for what is too large for a datagram.
	Dial(ctx context.Context, to netip.AddrPort) (net.Conn, error)
	// Accept waits for a peer's stream. It fails once the transport is closed.
	Accept() (net.Conn, error)
	Close() error
}
