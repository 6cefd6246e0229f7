package fleet

import (
	"context"
	"errors"
	"net"
	"net/netip"

	"github.com/zeebo/errs"
)

// sockets is a Transport over UDP and TCP on the same port.
type sockets struct {
	datagrams *net.UDPConn
	streams   net.Listener
}

// Listen opens a transport over UDP and TCP at an address.
func Listen(ip string, port int) (Transport, error) {
	addr, err := netip.ParseAddr(ip)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	at := netip.AddrPortFrom(addr, uint16(port))
	datagrams, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	streams, err := net.Listen("tcp4", at.String())
	if err != nil {
		return nil, Error.Wrap(errs.Combine(err, datagrams.Close()))
	}
	return &sockets{datagrams: datagrams, streams: streams}, nil
}

// Send implements Transport.
func (s *sockets) Send(to netip.AddrPort, datagram []byte) error {
	_, err := s.datagrams.WriteToUDPAddrPort(datagram, to)
	return err
}

// Receive implements Transport.
func (s *sockets) Receive(into []byte) (int, netip.AddrPort, error) {
	return s.datagrams.ReadFromUDPAddrPort(into)
}

// Dial implements Transport.
func (s *sockets) Dial(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", to.String())
}

// Accept implements Transport.
func (s *sockets) Accept() (net.Conn, error) { return s.streams.Accept() }

// Close implements Transport.
func (s *sockets) Close() error { return errors.Join(s.datagrams.Close(), s.streams.Close()) }
