package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/aspenswitch/aspenswitch/boottime"
)

// Hubs are the routers that all others hear often. Homes of groups are chosen among
// them, and so are the routers that read the platform or pass its state on.
//
// If all routers heard each other often, heartbeats would grow with the square of the fleet and
// take much of a small VM's processor. A router that is no hub hears the others farTimes more
// rarely, so that it knows who takes over.
const (
	// farTimes is how many times more rarely routers beat that are no hubs to each
	// other.
	farTimes = 8
	// hubsEvery is how often hubs are chosen anew.
	hubsEvery = 500 * time.Millisecond
)

// candidate is a router that may be a hub.
type candidate struct {
	id     uint64
	domain string
	// hubScore and readerScore rank it in the fleet and in its failure domain.
	hubScore, readerScore float64
}

func newCandidate(id uint64, weight float64, domain string) candidate {
	return candidate{id: id, domain: domain, hubScore: preference(id, weight, "hub"), readerScore: preference(id, weight, readerKey)}
}

// chooseHubs returns the IDs of the hubs among the routers that are up. All routers
// that know the same others choose the same.
func chooseHubs(all []candidate, most, mostInDomain int) map[uint64]bool {
	chosen := map[uint64]bool{}
	slices.SortFunc(all, func(a, b candidate) int { return cmp.Compare(b.hubScore, a.hubScore) })
	for _, c := range all[:min(most, len(all))] {
		chosen[c.id] = true
	}
	slices.SortFunc(all, func(a, b candidate) int { return cmp.Compare(b.readerScore, a.readerScore) })
	inDomain := map[string]int{}
	for _, c := range all {
		if inDomain[c.domain] < mostInDomain {
			inDomain[c.domain]++
			chosen[c.id] = true
		}
	}
	return chosen
}

// updateHubs finds the hubs as this router sees the fleet.
func (n *Node) updateHubs(now boottime.Time) {
	if now.Sub(n.hubsAt) < hubsEvery {
		return
	}
	n.hubsAt = now
	all := make([]candidate, 0, len(n.members)+1)
	if !n.leaving {
		all = append(all, newCandidate(n.self, n.cfg.Weight, n.cfg.Domain))
	}
	for _, m := range n.members {
		m.silent = m.silent || now.Sub(m.heard) >= n.silenceOf(now, m)
		if !m.leaving && !m.silent {
			all = append(all, m.candidate)
		}
	}
	chosen := chooseHubs(all, n.cfg.Hubs, n.cfg.HubsPerDomain)
	n.hub = chosen[n.self]
	for _, m := range n.members {
		if hub := chosen[m.id]; hub != m.hub {
			m.hub, m.nearAt = hub, now
			// It may not know yet that it is counted on.
			n.beatTo(now, m, hub)
		}
	}
}

// near reports whether two routers hear each other often.
func (n *Node) near(m *member) bool { return n.hub || m.hub || m.needsUs }

// period is the time between two heartbeats of routers that hear each other often.
func (n *Node) period() time.Duration {
	return max(n.cfg.HeartbeatInterval, time.Duration(len(n.members))*n.cfg.HeartbeatIntervalPerPeer)
}

func (n *Node) periodOf(m *member) time.Duration {
	if n.near(m) {
		return n.period()
	}
	return farTimes * n.period()
}

// silenceOf is how long a peer may be silent and still be used. One that has just
// become a hub was heard rarely until then.
func (n *Node) silenceOf(now boottime.Time, m *member) time.Duration {
	silence := time.Duration(n.cfg.MissedHeartbeats) * n.period()
	if n.near(m) && now.Sub(m.nearAt) > silence {
		return silence
	}
	return farTimes * silence
}

// forgetAfter is when a silent peer is no longer a member.
func (n *Node) forgetAfter(now boottime.Time, m *member) time.Duration {
	return max(n.cfg.ForgetAfter, n.silenceOf(now, m)*3/2)
}
