package fleet

import (
	"time"

	"github.com/aspenswitch/aspenswitch/boottime"
)

// lagProbe is the state of the heartbeats that a router sends to itself to measure how late
// it reads its peers' datagrams. The socket is first in, first out: once a probe is read, all
// datagrams that arrived before it have been read too.
type lagProbe struct {
	// sentAt is when the newest probe was sent, readUntil when the newest probe that has
	// been read was sent; 0 if there is none.
	sentAt, readUntil boottime.Time
}

// lagProbeInterval is the minimum time between two probes.
const lagProbeInterval = 20 * time.Millisecond

// sendLagProbe sends a probe unless the last one was sent within lagProbeInterval.
func (n *Node) sendLagProbe(now boottime.Time) {
	if n.lagProbe.sentAt != 0 && now.Sub(n.lagProbe.sentAt) < lagProbeInterval {
		return
	}
	addr, ok := n.addrOf(n.cfg.IP)
	if !ok {
		return
	}
	n.lagProbe.sentAt = now
	n.unreadSince.CompareAndSwap(0, int64(now))
	n.send(addr, &packet{Heartbeat: &heartbeat{heartbeatFields: heartbeatFields{Sent: int64(now)}}})
}

// handleLagProbe records that a probe of this router has been read.
func (n *Node) handleLagProbe(now boottime.Time, probe *heartbeat) {
	n.lagProbe.readUntil = max(n.lagProbe.readUntil, boottime.Time(probe.Sent))
	n.readLag.Store(int64(now.Sub(boottime.Time(probe.Sent))))
	if n.lagProbe.readUntil == n.lagProbe.sentAt {
		n.unreadSince.Store(0)
		return
	}
	n.unreadSince.Store(int64(n.lagProbe.sentAt))
}

// ReadLag implements gateway.Placer. It returns how long the newest probe waited until it was
// read or how long an unread one has been waiting, whichever is longer. It is zero until a
// probe has been sent.
func (n *Node) ReadLag() time.Duration {
	lag := time.Duration(n.readLag.Load())
	if since := boottime.Time(n.unreadSince.Load()); since != 0 {
		lag = max(lag, n.now().Sub(since))
	}
	return lag
}

// staleStateAge is the age of the published state from which on a router measures whether it
// is itself late with reading.
const staleStateAge = time.Second

// probeLagIfStale sends a probe while the published state isn't confirmed.
func (n *Node) probeLagIfStale(now boottime.Time) {
	if n.feed != nil && n.feed.Age() > staleStateAge {
		n.sendLagProbe(now)
	}
}

// MeasureReadLag sends a probe that updates ReadLag.
func (n *Node) MeasureReadLag() { n.post(callEvent{do: n.sendLagProbe}) }
