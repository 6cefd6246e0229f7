package sched

import (
	"maps"
	"slices"
	"time"

	"github.com/aspenswitch/aspenswitch/fairness"
)

// Dump is the complete state of a node, for operators.
type Dump struct {
	Router      string     `json:"router"`
	Incarnation uint64     `json:"incarnation"`
	Live        []string   `json:"live"`
	Joined      bool       `json:"joined"`
	Draining    bool       `json:"leaving"`
	Waiting     int        `json:"waiting"`
	Running     int        `json:"running"`
	Pools       []PoolDump `json:"pools"`
	Peers       []PeerDump `json:"peers"`
}

// PoolDump is the state of one pool.
type PoolDump struct {
	Pool      int                 `json:"pool"`
	MeanCost  float64             `json:"meanCostSeconds"`
	Teams     []fairness.TeamDump `json:"teams"`
	Upstreams []UpstreamDump      `json:"upstreams"`
}

// UpstreamDump is the state of one upstream at this router.
type UpstreamDump struct {
	Upstream   int     `json:"upstream"`
	Home       string  `json:"home"`
	Held       int     `json:"held"`
	InUse      int     `json:"inUse"`
	LeaseLeft  float64 `json:"leaseLeftSeconds"`
	Limit      int     `json:"limit"`
	Granted    int     `json:"granted,omitempty"`
	Free       int     `json:"free,omitempty"`
	IsHome     bool    `json:"isHome"`
	Draining   bool    `json:"leaving,omitempty"`
	Queued     int     `json:"queuedAtUpstream,omitempty"`
	AvoidedFor float64 `json:"avoidedForSeconds,omitempty"`
}

// PeerDump is the state of the link to one peer.
type PeerDump struct {
	Peer            string  `json:"peer"`
	Incarnation     uint64  `json:"incarnation"`
	LastReceivedAgo float64 `json:"heardAgoSeconds"`
	LastSentSeq     uint64  `json:"sent"`
	LastReceivedSeq uint64  `json:"heard"`
	Unacked         int     `json:"unacked"`
}

// Dump returns the state at now.
func (n *Node) Dump(now time.Time) Dump {
	d := Dump{
		Router: n.cfg.Router, Incarnation: n.cfg.Incarnation, Live: n.live,
		Joined: n.joined, Draining: n.draining, Waiting: len(n.requests), Running: len(n.running),
	}
	for _, id := range slices.Sorted(maps.Keys(n.pools)) {
		d.Pools = append(d.Pools, n.pools[id].dump(now))
	}
	for _, name := range slices.Sorted(maps.Keys(n.links)) {
		l := n.links[name]
		d.Peers = append(d.Peers, PeerDump{
			Peer: name, Incarnation: l.incarnation, LastReceivedAgo: now.Sub(l.receivedAt).Seconds(),
			LastSentSeq: l.lastSent, LastReceivedSeq: l.lastReceived, Unacked: len(l.unackedSentAt),
		})
	}
	return d
}

func (p *pool) dump(now time.Time) PoolDump {
	d := PoolDump{Pool: p.id, MeanCost: p.accounts.MeanCost(), Teams: p.accounts.Dump(now)}
	for _, u := range p.upstreams {
		d.Upstreams = append(d.Upstreams, u.dump(now))
	}
	return d
}

func (u *upstream) dump(now time.Time) UpstreamDump {
	d := UpstreamDump{
		Upstream: u.ID, Home: u.holder.Home(), Held: u.holder.Held(), InUse: u.holder.InUse(),
		LeaseLeft: max(u.holder.LeaseExpiry().Sub(now).Seconds(), 0), Limit: u.limit.Limit(),
		Draining: u.Draining, Queued: u.load.Queued,
		AvoidedFor: max(u.avoidUntil.Sub(now).Seconds(), 0),
	}
	if u.table != nil {
		d.IsHome, d.Granted, d.Free, d.Limit = true, u.table.Granted(), u.table.Free(now), u.table.Limit()
	}
	return d
}
