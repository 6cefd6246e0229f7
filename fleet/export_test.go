package fleet

import (
	"net"
	"net/netip"
	"time"

	"github.com/aspenswitch/aspenswitch/boottime"
)

// Hold keeps the control goroutine busy for a while, as a VM does whose processor
// is taken up by other work. Call it from a goroutine of its own.
func (n *Node) Hold(d time.Duration) {
	n.post(inspectEvent{do: func(boottime.Time) { time.Sleep(d) }})
}

// Addrs are where a transport is heard, for port 0.
type Addrs struct{ Datagrams, Streams netip.AddrPort }

// LocalAddr returns where a transport of Listen is heard.
func LocalAddr(t Transport) Addrs {
	s := t.(*sockets)
	return Addrs{
		Datagrams: s.datagrams.LocalAddr().(*net.UDPAddr).AddrPort(),
		Streams:   s.streams.Addr().(*net.TCPAddr).AddrPort(),
	}
}
