package fleet

import (
	"time"

	"github.com/aspenswitch/aspenswitch/boottime"
	"github.com/aspenswitch/aspenswitch/registry"
	"github.com/aspenswitch/aspenswitch/warmup"
)

// warmUntil returns when an upstream will have warmed up. After an evacuation, an upstream may
// be cold although its entry doesn't show it yet.
func warmUntil(v *registry.View, u *registry.Upstream, limit warmup.Limit) boottime.Time {
	until := u.WarmUpEnd
	if withdrawnAt := v.EvacuationWithdrawnAt(u.FailureDomain); withdrawnAt != 0 {
		until = max(until, withdrawnAt.Add(limit.Duration))
	}
	return until
}

// updateWarmUpGrant allows or forbids a group's core to send requests to upstreams that are
// warming up.
func (n *Node) updateWarmUpGrant(now boottime.Time, g *group) {
	isHome := g.home == n.self && !n.leaving && now.Sub(g.homeSince) >= warmup.TakeoverDelay
	g.core.GrantWarmUp(isHome && n.hasQuorum(now))
}

const (
	// quorumHeartbeats is the number of heartbeat intervals without contact up to which a
	// member counts towards the quorum. A home is a hub, to which all members send a
	// heartbeat in each interval.
	quorumHeartbeats = 3
	// recentPeakWindow is how long the peak number of routers is kept. A router that is cut
	// off must not treat the routers that it can still reach as the whole fleet.
	recentPeakWindow = 2 * time.Minute
)

// peakMembers is the largest number of routers within recentPeakWindow.
type peakMembers struct {
	peak int
	at   boottime.Time
}

func (s *peakMembers) observe(now boottime.Time, routers int) {
	if routers >= s.peak || now.Sub(s.at) > recentPeakWindow {
		s.peak, s.at = routers, now
	}
}

// hasQuorum reports whether this router is in contact with more than half of the recent
// number of routers, itself included, and with at least one other if its seeds list others.
func (n *Node) hasQuorum(now boottime.Time) bool {
	reachable := 1
	for _, m := range n.members {
		if now.Sub(m.lastContact) < quorumHeartbeats*n.heartbeatInterval() {
			reachable++
		}
	}
	if reachable == 1 && n.hasOtherSeeds() {
		return false
	}
	return 2*reachable > n.recentPeakMembers.peak
}

func (n *Node) hasOtherSeeds() bool {
	for _, ip := range n.cfg.Seeds {
		if ip != n.cfg.IP {
			return true
		}
	}
	return false
}
