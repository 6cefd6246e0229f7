package fleet

import (
	"math"
	"net"
	"net/netip"
	"time"

	"github.com/aspenswitch/aspenswitch/boottime"
	"github.com/aspenswitch/aspenswitch/dispatch"
)

// Hold keeps the control goroutine busy for a while, as a VM does whose processor
// is taken up by other work. Call it from a goroutine of its own.
func (n *Node) BlockControl(d time.Duration) {
	n.post(callEvent{do: func(boottime.Time) { time.Sleep(d) }})
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

// Account is how a team stands at a group's home, which must be this router; ok is unset
// if it is another.
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

// AddsUp reports whether this router adds up what homes gave a team, as it sees the fleet.
func (n *Node) AggregatesUsage(team string) bool {
	answers := make(chan bool, 1)
	n.post(callEvent{do: func(now boottime.Time) { answers <- n.hubFor(now, usageKey(team)) == nil }})
	return <-answers
}

// Served is what this router gave to a team as the home of a group, now or before.
func (n *Node) Served(service string, group int, team string) dispatch.Got {
	answers := make(chan dispatch.Got, 1)
	n.post(callEvent{do: func(now boottime.Time) {
		if g := n.groups[groupKey{service: service, index: group}]; g != nil {
			answers <- g.core.Served(time.Duration(now), team)
			return
		}
		answers <- dispatch.Got{}
	}})
	return <-answers
}
