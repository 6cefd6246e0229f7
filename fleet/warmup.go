package fleet

import (
	"time"

	"github.com/aspenswitch/aspenswitch/boottime"
	"github.com/aspenswitch/aspenswitch/registry"
	"github.com/aspenswitch/aspenswitch/warmup"
)

// warmUntil is when an upstream has warmed up. After an evacuation it may be cold without
// having said so yet.
func warmUntil(v *registry.View, u *registry.Upstream, limit warmup.Limit) boottime.Time {
	until := u.WarmUpEnd
	if reopened := v.ReopenedAt(u.FailureDomain); reopened != 0 {
		until = max(until, reopened.Add(limit.Duration))
	}
	return until
}

// updateWarmUpGrant lets a group's core send to upstreams that are warming up, or stops it.
func (n *Node) updateWarmUpGrant(now boottime.Time, g *group) {
	isHome := g.home == n.self && !n.leaving && now.Sub(g.homeSince) >= warmup.TakeoverDelay
	g.core.GrantWarmUp(isHome && n.hearsMajority(now))
}

const (
	// majoritySilence is how long a member may be silent and still count as heard. A home is a
	// hub, which all members send heartbeats to every period.
	majoritySilence = 3
	// fleetMemory is how long the number of routers is remembered. A router that is cut off
	// must not take what it still hears for the whole fleet.
	fleetMemory = 2 * time.Minute
)

// fleetSize is the largest number of routers that was known within fleetMemory.
type fleetSize struct {
	most int
	at   boottime.Time
}

func (s *fleetSize) observe(now boottime.Time, routers int) {
	if routers >= s.most || now.Sub(s.at) > fleetMemory {
		s.most, s.at = routers, now
	}
}

// hearsMajority reports whether this router hears more than half of the routers that there
// were of late, and any router at all if its seeds name others.
func (n *Node) hearsMajority(now boottime.Time) bool {
	heard := 1
	for _, m := range n.members {
		if now.Sub(m.heard) < majoritySilence*n.period() {
			heard++
		}
	}
	if heard == 1 && n.seedsNameOthers() {
		return false
	}
	return 2*heard > n.fleetSize.most
}

func (n *Node) seedsNameOthers() bool {
	for _, ip := range n.cfg.Seeds {
		if ip != n.cfg.IP {
			return true
		}
	}
	return false
}
