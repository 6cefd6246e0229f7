package fleet

import (
	"math"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/aspenswitch/aspenswitch/boottime"
)

// member is a peer from which a heartbeat has been received.
type member struct {
	candidate
	addr        netip.AddrPort
	ip          string
	weight      float64
	leaving     bool
	lastContact boottime.Time
	// lastSent is the newest Sent of the peer's heartbeats.
	lastSent int64
	// stateAge is the age of the peer's view of the platform as of its last heartbeat.
	stateAge time.Duration
	// platformUnreachable is set if the peer's last call to the platform failed, as of its last
	// heartbeat.
	platformUnreachable bool
	// unresponsive is set when the peer leaves a placement request or polls unanswered, until
	// the next datagram from it.
	unresponsive bool
	// silent is set when the peer's heartbeats are missing, until the next datagram from
	// it. Without it, a lost hub would be chosen again: once it is no hub, its
	// heartbeats are due less often and it doesn't count as silent any more.
	silent bool
	// isHub is set if the peer is one of the hubs, usesUsAsHub if the peer treats this
	// router as one; hubChangedAt is when either last changed.
	isHub, usesUsAsHub bool
	hubChangedAt       boottime.Time
	heartbeatSentAt    boottime.Time
	// polledAt is when the peer was last asked for the age of its state, polledInVainSince when
	// it was first asked after its last datagram, 0 if it wasn't.
	polledAt, polledInVainSince boottime.Time
	// repairedAt is when this router last resent notices because the member's quarantine
	// digest differed.
	repairedAt boottime.Time
}

// rendezvousScore returns a router's score for a key in weighted rendezvous hashing
// (Thaler and Ravishankar 1998; weights after Schindelhauer and Schomaker 2005).
//
// The weight is raised to the sixth power, because a home decides for a quarter of the
// fleet and should be a strong VM. With eight VMs of 0.8 cores and 78 of 0.19 cores, a
// weak VM is the home of one group in 500; with the third power it is one in eight.
func rendezvousScore(id uint64, weight float64, key string) float64 {
	var raw [8]byte
	for i := range raw {
		raw[i] = byte(id >> (8 * i))
	}
	h := xxhash.New()
	_, _ = h.Write(raw[:])    // never fails
	_, _ = h.WriteString(key) // never fails
	u := (float64(h.Sum64()>>11) + 0.5) / (1 << 53)
	const weightExponent = 6
	return math.Pow(weight, weightExponent) / -math.Log(u)
}

// usable reports whether a peer may be a home or distribute the published state.
func (n *Node) usable(now boottime.Time, m *member) bool {
	return !m.leaving && !m.unresponsive && !m.silent && now.Sub(m.lastContact) < n.maxSilence(now, m)
}
