package fairness

import "time"

// Snapshot is a router's full state of a pool's accounts. A router that starts
// without state loads one from the first peer that sends it.
type Snapshot struct {
	// Base is the service of ended incarnations, as entries without counts.
	Base []Entry `json:"base,omitempty"`
	// Peers are the last reports of the other routers.
	Peers []PeerSnapshot `json:"peers,omitempty"`
}

// PeerSnapshot is the last known report of one router.
type PeerSnapshot struct {
	Router      string  `json:"router"`
	Incarnation uint64  `json:"inc"`
	Entries     []Entry `json:"entries"`
}

// Snapshot returns the state that a joining router needs to compute the same
// keys.
func (a *Accounts) Snapshot(now time.Time) Snapshot {
	var s Snapshot
	for _, acc := range a.sorted {
		if acc.base > 0 || acc.lift > 0 {
			s.Base = append(s.Base, Entry{Team: acc.id, Usage: Usage{Service: acc.base}, Lift: acc.lift})
		}
	}
	for _, p := range a.peers {
		ps := PeerSnapshot{Router: p.name, Incarnation: p.incarnation}
		for _, acc := range a.sorted {
			if r, ok := p.reports[acc.id]; ok {
				usage := r.usage
				usage.Service = r.serviceAt(now, a.cfg.MaxExtrapolation)
				ps.Entries = append(ps.Entries, Entry{Team: acc.id, Usage: usage})
			}
		}
		s.Peers = append(s.Peers, ps)
	}
	return s
}

// Restore applies a snapshot at a router that has just started. self is the
// router's own name: the service of its earlier incarnations is already in the
// base. Reports received directly are newer and take precedence.
func (a *Accounts) Restore(now time.Time, self string, s Snapshot) {
	for _, e := range s.Base {
		if acc, ok := a.teams[e.Team]; ok {
			acc.base = max(acc.base, e.Service)
			acc.lift = max(acc.lift, e.Lift)
		}
	}
	for _, ps := range s.Peers {
		if _, known := a.findPeer(ps.Router); known || ps.Router == self {
			continue
		}
		a.Merge(now, ps.Router, ps.Incarnation, ps.Entries)
	}
}
