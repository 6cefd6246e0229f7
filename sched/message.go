package sched

import (
	"github.com/aspenswitch/aspenswitch/fairness"
	"github.com/aspenswitch/aspenswitch/lease"
)

// Sync is the one message between nodes: heartbeat, report of accounts, and
// leases in both directions. Everything in it is a counter that only grows or a
// value that the newest sequence number decides, so a Sync may be lost or come
// twice, late or out of order.
type Sync struct {
	From        string `json:"f"`
	Incarnation uint64 `json:"i"`
	// ToIncarnation is the receiver's incarnation as the sender knows it; leases in a
	// message for an earlier incarnation are void.
	ToIncarnation uint64 `json:"o,omitempty"`
	// LiveHash is a hash of the sender's live routers: the sender has claimed its
	// slots from the homes that follow from them.
	LiveHash uint32 `json:"h,omitempty"`
	Seq      uint64 `json:"s"`
	// Ack is the highest sequence number heard from the receiver; 0 for none.
	Ack uint64 `json:"a,omitempty"`
	// Missed asks for everything: the sender missed a message.
	Missed bool `json:"m,omitempty"`
	// Joining asks for a snapshot: the sender started without memory.
	Joining bool `json:"j,omitempty"`
	// Leaving tells that the sender shuts down.
	Leaving bool       `json:"l,omitempty"`
	Pools   []PoolSync `json:"p,omitempty"`
}

// PoolSync is one pool's part of a Sync.
type PoolSync struct {
	Pool     int                `json:"p"`
	Entries  []fairness.Entry   `json:"e,omitempty"`
	Grants   []lease.Grant      `json:"g,omitempty"`
	Reports  []lease.Report     `json:"r,omitempty"`
	Snapshot *fairness.Snapshot `json:"s,omitempty"`
}

func (p *PoolSync) empty() bool {
	return len(p.Entries) == 0 && len(p.Grants) == 0 && len(p.Reports) == 0 && p.Snapshot == nil
}
