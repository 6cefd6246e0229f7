package fleet

import (
	"math"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/aspenswitch/aspenswitch/boottime"
)

// member is a peer of which something was heard.
type member struct {
	candidate
	addr    netip.AddrPort
	ip      string
	weight  float64
	leaving bool
	heard   boottime.Time
	// theirs is the newest Sent of the peer.
	theirs int64
	// stateAge is how old the peer's view of the platform was at its heartbeat.
	stateAge time.Duration
	// doubted is set when it left a question unanswered, until it is heard.
	doubted bool
	// silent is set when its heartbeats failed to come, until it is heard. A hub that
	// is lost would else be no hub, not be expected to be heard soon, and be chosen
	// again.
	silent bool
	// hub is set if it is one of the hubs, needsUs if it takes this router for one;
	// nearAt is when either changed.
	hub, needsUs bool
	nearAt       boottime.Time
	beatAt       boottime.Time
	pingAt       boottime.Time
	// repairedAt is when this router last resent notices because the member's quarantine
	// digest differed.
	repairedAt boottime.Time
}

// preference is a member's weighted rendezvous score for a key (Thaler and
// Ravishankar 1998; weights after Schindelhauer and Schomaker 2005). The weight
// counts with its sixth power: of eight VMs with 0.8 of a core and 78 with 0.19, a
// weak one is the home of a group in one of 500 cases (with the cube one in eight),
// and a home decides for a quarter of the fleet.
func preference(id uint64, weight float64, key string) float64 {
	var raw [8]byte
	for i := range raw {
		raw[i] = byte(id >> (8 * i))
	}
	h := xxhash.New()
	_, _ = h.Write(raw[:])    // a hash can't fail
	_, _ = h.WriteString(key) // nor here
	u := (float64(h.Sum64()>>11) + 0.5) / (1 << 53)
	const power = 6
	return math.Pow(weight, power) / -math.Log(u)
}

// usable reports whether a peer may be a home or pass the published state on.
func (n *Node) usable(now boottime.Time, m *member) bool {
	return !m.leaving && !m.doubted && !m.silent && now.Sub(m.heard) < n.silenceOf(now, m)
}
