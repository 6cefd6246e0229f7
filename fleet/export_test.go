package fleet

import (
	"math"
	"net"
	"net/netip"
	"time"

	"github.com/aspenswitch/aspenswitch/boottime"
	"github.com/aspenswitch/aspenswitch/dispatch"
)

// BlockControl blocks the control goroutine for a duration, as on a VM whose processor is
// used by other work. Call it from a separate goroutine.
func (n *Node) BlockControl(d time.Duration) {
	n.post(callEvent{do: func(boottime.Time) { time.Sleep(d) }})
}

// Addrs are the addresses of a transport. They differ if it was opened with port 0.
type Addrs struct{ Datagrams, Streams netip.AddrPort }

// LocalAddr returns the addresses of a transport that Listen has returned.
func LocalAddr(t Transport) Addrs {
	s := t.(*sockets)
	return Addrs{
		Datagrams: s.datagrams.LocalAddr().(*net.UDPAddr).AddrPort(),
		Streams:   s.streams.Addr().(*net.TCPAddr).AddrPort(),
	}
}

// TeamAccount returns the state of a team at a group. It returns false if this router isn't
// the home of the group or the team isn't found.
func (n *Node) TeamAccount(service string, group int, team string) (state dispatch.TeamState, ok bool) {
	type answer struct {
		state dispatch.TeamState
		ok    bool
	}
	answers := make(chan answer, 1)
	n.post(callEvent{do: func(now boottime.Time) {
		g := n.groups[groupKey{service: service, index: group}]
		if g == nil || g.home != n.self {
			answers <- answer{}
			return
		}
		for _, t := range g.core.Teams(time.Duration(now), math.MaxInt) {
			if t.Team == team {
				answers <- answer{t, true}
				return
			}
		}
		answers <- answer{}
	}})
	a := <-answers
	return a.state, a.ok
}

// AggregatesUsage reports whether this router considers itself the hub that aggregates a
// team's usage.
func (n *Node) AggregatesUsage(team string) bool {
	answers := make(chan bool, 1)
	n.post(callEvent{do: func(now boottime.Time) { answers <- n.hubFor(now, usageKey(team)) == nil }})
	return <-answers
}

// Served returns the usage of a team at a group of which this router is or was the home.
func (n *Node) Served(service string, group int, team string) dispatch.Usage {
	answers := make(chan dispatch.Usage, 1)
	n.post(callEvent{do: func(now boottime.Time) {
		if g := n.groups[groupKey{service: service, index: group}]; g != nil {
			answers <- g.core.LocalUsage(time.Duration(now), team)
			return
		}
		answers <- dispatch.Usage{}
	}})
	return <-answers
}

// Pull fetches the state of a peer.
func (n *Node) Pull(addr netip.AddrPort) error { return n.pull(addr, pullStallTimeout) }

// ExtensionHeader is the first byte of a datagram with an extension.
const ExtensionHeader = extensionHeader

// MaxPullsServed is the number of peers that are served at the same time.
const MaxPullsServed = maxPullsServed

// MaxStateBytes is the maximum size of a peer's state.
const MaxStateBytes = maxStateBytes

// MaxTransferTime limits a transfer of the state.
const MaxTransferTime = maxTransferTime
