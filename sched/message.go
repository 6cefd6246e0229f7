package sched

import (
	"github.com/aspenswitch/aspenswitch/fairness"
	"github.com/aspenswitch/aspenswitch/lease"
)

// Sync is the only message between nodes. It carries the heartbeat, the report
// of accounts, and leases in both directions. Each of its values is a counter
// that only grows or is superseded by the highest sequence number, so a Sync may
// be lost, duplicated, delayed or reordered.
type Sync struct {
	From        string `json:"f"`
	Incarnation uint64 `json:"i"`
	// ToIncarnation is the receiver's incarnation last seen by the sender;
	// leases in a message for an earlier incarnation are void.
	ToIncarnation uint64 `json:"o,omitempty"`
	// LiveHash is a hash of the sender's live routers. The sender has claimed
	// its slots from the homes that result from them.
	LiveHash uint32 `json:"h,omitempty"`
	Seq      uint64 `json:"s"`
	// Ack is the highest sequence number received from the receiver; 0 for none.
	Ack uint64 `json:"a,omitempty"`
	// Missed requests the full state: the sender missed a message.
	Missed bool `json:"m,omitempty"`
	// Joining requests a snapshot: the sender started without state.
	Joining bool `json:"j,omitempty"`
	// Draining announces that the sender has started a graceful shutdown.
	Draining bool       `json:"l,omitempty"`
	Pools    []PoolSync `json:"p,omitempty"`
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
