package fairness

import "time"

// Snapshot is everything a router knows of a pool's accounts. A router that
// starts without memory takes one from its first peer.
type Snapshot struct {
	// Base is the service of ended incarnations, as entries without counts.
	Base []Entry `json:"base,omitempty"`
	// Peers are the other routers' reports.
	Peers []PeerSnapshot `json:"peers,omitempty"`
}

// PeerSnapshot is the last known report of one router.
type PeerSnapshot struct {
	Router      string  `json:"router"`
	Incarnation uint64  `json:"inc"`
	Entries     []Entry `json:"entries"`
}

// Snapshot returns what a newcomer needs to reach the same keys.
func (a *Accounts) Snapshot(now time.Time) Snapshot {
	var s Snapshot
	for _, acc := range a.order {
		if acc.base > 0 || acc.lift > 0 {
			s.Base = append(s.Base, Entry{Team: acc.id, Usage: Usage{Service: acc.base}, Lift: acc.lift})
		}
	}
	for _, p := range a.peers {
		ps := PeerSnapshot{Router: p.name, Incarnation: p.incarnation}
		for _, acc := range a.order {
			if v, ok := p.views[acc.id]; ok {
				tally := v.tally
				tally.Service = v.service(now, a.cfg.MaxExtrapolation)
				ps.Entries = append(ps.Entries, Entry{Team: acc.id, Usage: tally})
			}
		}
		s.Peers = append(s.Peers, ps)
	}
	return s
}

// Restore takes in a snapshot at a router that has just started. self is the
// router's own name: what an earlier incarnation of it did is in the base
// already. Reports that came directly are newer and stay.
func (a *Accounts) Restore(now time.Time, self string, s Snapshot) {
	for _, e := range s.Base {
		if acc, ok := a.teams[e.Team]; ok {
			acc.base = max(acc.base, e.Service)
			acc.lift = max(acc.lift, e.Lift)
		}
	}
	for _, ps := range s.Peers {
		if _, known := a.peerNamed(ps.Router); known || ps.Router == self {
			continue
		}
		a.Merge(now, ps.Router, ps.Incarnation, ps.Entries)
	}
}
