package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/aspenswitch/aspenswitch/boottime"
)

// Hubs are the routers that exchange frequent heartbeats with all others. The homes of
// groups are chosen among them, and so are the routers that read the platform or distribute
// its state.
//
// Frequent heartbeats between all routers would grow with the square of the fleet size and
// use much of a small VM's processor. Routers that aren't hubs exchange heartbeats at
// infrequentFactor times the interval, so that each can choose successors of lost hubs.
const (
	// infrequentFactor multiplies the heartbeat interval and the silence timeout between
	// routers that aren't hubs.
	infrequentFactor = 8
	// hubChoiceInterval is the time between two choices of the hubs.
	hubChoiceInterval = 500 * time.Millisecond
	// hubChoiceDelay is the time from the first join to the next choice. When all routers start,
	// hundreds join within a second.
	hubChoiceDelay = 50 * time.Millisecond
)

// candidate is a router that may be a hub.
type candidate struct {
	id     uint64
	domain string
	// hubScore ranks it in the fleet, leaderScore in its failure domain.
	hubScore, leaderScore float64
}

func newCandidate(id uint64, weight float64, domain string) candidate {
	return candidate{id: id, domain: domain, hubScore: rendezvousScore(id, weight, "hub"), leaderScore: rendezvousScore(id, weight, readerKey)}
}

// chooseHubs returns the IDs of the hubs among the candidates. Routers with the same
// candidates choose the same hubs.
func chooseHubs(candidates []candidate, maxHubs, maxPerDomain int) map[uint64]bool {
	chosen := map[uint64]bool{}
	slices.SortFunc(candidates, func(a, b candidate) int { return cmp.Compare(b.hubScore, a.hubScore) })
	for _, c := range candidates[:min(maxHubs, len(candidates))] {
		chosen[c.id] = true
	}
	slices.SortFunc(candidates, func(a, b candidate) int { return cmp.Compare(b.leaderScore, a.leaderScore) })
	inDomain := map[string]int{}
	for _, c := range candidates {
		if inDomain[c.domain] < maxPerDomain {
			inDomain[c.domain]++
			chosen[c.id] = true
		}
	}
	return chosen
}

// updateHubs chooses the hubs from this router's members.
func (n *Node) updateHubs(now boottime.Time) {
	if now.Sub(n.hubsChosenAt) < hubChoiceInterval {
		return
	}
	n.hubsChosenAt = now
	all := make([]candidate, 0, len(n.members)+1)
	if !n.leaving {
		all = append(all, newCandidate(n.self, n.cfg.Weight, n.cfg.Domain))
	}
	for _, m := range n.members {
		m.silent = m.silent || now.Sub(m.lastContact) >= n.maxSilence(now, m)
		if !m.leaving && !m.silent {
			all = append(all, m.candidate)
		}
	}
	chosen := chooseHubs(all, n.cfg.Hubs, n.cfg.HubsPerDomain)
	n.isHub = chosen[n.self]
	for _, m := range n.members {
		if hub := chosen[m.id]; hub != m.isHub {
			m.isHub, m.hubChangedAt = hub, now
			// The peer may not have chosen itself yet.
			n.sendHeartbeat(now, m, hub)
		}
	}
}

// frequentHeartbeats reports whether this router and a peer exchange frequent heartbeats.
func (n *Node) frequentHeartbeats(m *member) bool { return n.isHub || m.isHub || m.usesUsAsHub }

// heartbeatInterval returns the time between two heartbeats if they are frequent.
func (n *Node) heartbeatInterval() time.Duration {
	return max(n.cfg.HeartbeatInterval, time.Duration(len(n.members))*n.cfg.HeartbeatIntervalPerPeer)
}

func (n *Node) heartbeatIntervalTo(m *member) time.Duration {
	if n.frequentHeartbeats(m) {
		return n.heartbeatInterval()
	}
	return infrequentFactor * n.heartbeatInterval()
}

// maxSilence returns the time without contact up to which a peer is still used. A peer that
// has just become a hub sent infrequent heartbeats until then.
func (n *Node) maxSilence(now boottime.Time, m *member) time.Duration {
	silence := time.Duration(n.cfg.MissedHeartbeats) * n.heartbeatInterval()
	if n.frequentHeartbeats(m) && now.Sub(m.hubChangedAt) > silence {
		return silence
	}
	return infrequentFactor * silence
}

// forgetAfter returns the time without contact after which a peer is removed.
func (n *Node) forgetAfter(now boottime.Time, m *member) time.Duration {
	return max(n.cfg.ForgetAfter, n.maxSilence(now, m)*3/2)
}
