package fleet

import (
	"context"
	"net"
	"net/netip"
)

// Transport carries messages between routers. Its methods are safe for concurrent use.
type Transport interface {
	// Send sends a datagram. Datagrams may be lost, duplicated or delayed; a failed send is
	// treated as a loss.
	Send(to netip.AddrPort, datagram []byte) error
	// Receive waits for a datagram and returns its size and sender. It returns an error once
	// the transport is closed.
	Receive(into []byte) (int, netip.AddrPort, error)
	// Dial opens a stream to a peer, for messages that are too large for a datagram.
	Dial(ctx context.Context, to netip.AddrPort) (net.Conn, error)
	// Accept waits for a stream from a peer. It returns an error once the transport is closed.
	Accept() (net.Conn, error)
	Close() error
}
