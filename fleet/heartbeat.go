package fleet

import (
	"time"

	"github.com/aspenswitch/aspenswitch/boottime"
	"github.com/aspenswitch/aspenswitch/revision"
)

// handleHeartbeat updates the member that sent a heartbeat, and adds it if it is new.
func (n *Node) handleHeartbeat(now boottime.Time, id uint64, hb *heartbeat) {
	addr, ok := n.addrOf(hb.IP)
	if !ok {
		return
	}
	m := n.members[id]
	if m == nil {
		m = &member{candidate: newCandidate(id, hb.Weight, hb.Domain), addr: addr, ip: hb.IP, weight: hb.Weight, hubChangedAt: now}
		n.replaceIncarnation(now, m)
		n.members[id] = m
		n.byIP[m.ip] = m
		n.log.Info().Str("event", "member").Uint64("router", id).Str("ip", hb.IP).Str("domain", hb.Domain).
			Int("members", len(n.members)).Msg("router joined")
		hb.ReplyRequested = true
		n.hubsChosenAt = min(n.hubsChosenAt, now.Add(hubChoiceDelay-hubChoiceInterval))
	}
	m.leaving = hb.Leaving
	if hb.ReceiverIsHub != m.usesUsAsHub {
		m.usesUsAsHub, m.hubChangedAt = hb.ReceiverIsHub, now
	}
	m.stateAge, m.platformUnreachable = time.Duration(hb.AgeNanos), hb.PlatformUnreachable
	m.lastSent = max(m.lastSent, hb.Sent)
	m.lastContact, m.silent = now, false
	n.updateHubs(now)
	n.confirmState(m, hb)
	n.quarantine.start.compare(now, n.quarantine.table.Digest(), hb.QuarantineDigest)
	n.contactNewPeers(now, hb.Peers)
	if hb.ReplyRequested {
		n.sendHeartbeat(now, m, false)
	}
	// A router that has started ignores notices of peers from which it has no heartbeat yet.
	n.repairQuarantine(now, m, hb.QuarantineDigest)
}

// replaceIncarnation removes the member of an earlier process at the same address.
func (n *Node) replaceIncarnation(now boottime.Time, m *member) {
	if old := n.byIP[m.ip]; old != nil {
		n.dropMember(now, old.id, "router replaced")
	}
}

func (n *Node) dropMember(now boottime.Time, id uint64, reason string) {
	delete(n.byIP, n.members[id].ip)
	delete(n.members, id)
	n.log.Info().Str("event", "member").Uint64("router", id).Int("members", len(n.members)).Msg(reason)
	for key, g := range n.groups {
		n.deliver(now, key, g.core.DropRouter(time.Duration(now), id))
	}
}

// confirmState renews the confirmation of the published state from a peer's heartbeat, or
// fetches the peer's state if that is newer. The echo gives the time of the confirmation on
// this router's clock: the peer sent its heartbeat after it had received the echoed one, so
// no network delay makes the state look younger than it is.
func (n *Node) confirmState(m *member, hb *heartbeat) {
	if n.feed == nil || hb.Revision == 0 {
		return
	}
	confirmedAt := boottime.Time(hb.Echo - hb.AgeNanos)
	// A peer that has received nothing from this incarnation echoes the previous one.
	// After a power loss the boot clock starts again, so the echoed time may be hours
	// ahead of this router's clock. The state would be dated in the future and would never
	// count as stale, so this router would serve requests on it indefinitely.
	if hb.Echo == 0 || hb.EchoIncarnation != uint32(n.self) {
		confirmedAt = 0
	}
	confirmed, err := revision.New(hb.Epoch, hb.Revision)
	if err != nil {
		return // no router sends this
	}
	if n.feed.ConfirmRevision(confirmed, confirmedAt) {
		n.pullFrom(m.addr)
	}
}

// contactNewPeers sends a first heartbeat to the routers of a peer's heartbeat that aren't
// members yet.
func (n *Node) contactNewPeers(now boottime.Time, ips []string) {
	for _, ip := range ips {
		if ip == n.cfg.IP || n.isMember(ip) {
			continue
		}
		if addr, ok := n.addrOf(ip); ok {
			n.send(addr, &packet{Heartbeat: n.newHeartbeat(now, 0, true)})
		}
	}
}

func (n *Node) isMember(ip string) bool { return n.byIP[ip] != nil }

// maxPeersInHeartbeat limits the peers in a heartbeat. They are chosen at random, so the
// complete list spreads within seconds.
const maxPeersInHeartbeat = 4

func (n *Node) newHeartbeat(now boottime.Time, echo int64, requestReply bool) *heartbeat {
	hb := &heartbeat{heartbeatFields: heartbeatFields{
		Sent: int64(now), Echo: echo, IP: n.cfg.IP, Domain: n.cfg.Domain, Weight: n.cfg.Weight,
		Leaving: n.leaving, ReplyRequested: requestReply, QuarantineDigest: n.quarantine.table.Digest(),
	}}
	if n.feed != nil {
		// The age is read before the revision: if the state is replaced in between, it only
		// looks older than it is.
		hb.AgeNanos = int64(n.feed.Age())
		hb.PlatformUnreachable = n.feed.PlatformUnreachable()
		if s := n.feed.Snapshot(); s != nil {
			hb.Epoch, hb.Revision = revision.Epoch(s.Revision), revision.Counter(s.Revision)
		}
	}
	for _, m := range n.members {
		if len(hb.Peers) == maxPeersInHeartbeat {
			break
		}
		hb.Peers = append(hb.Peers, m.ip)
	}
	return hb
}

func (n *Node) sendHeartbeat(now boottime.Time, m *member, requestReply bool) {
	m.heartbeatSentAt = now
	hb := n.newHeartbeat(now, m.lastSent, requestReply)
	hb.EchoIncarnation, hb.ReceiverIsHub = uint32(m.id), m.isHub
	n.send(m.addr, &packet{Heartbeat: hb})
}

func (n *Node) broadcastHeartbeat(now boottime.Time) {
	for _, m := range n.members {
		n.sendHeartbeat(now, m, false)
	}
}

// tick does the periodic work of the control goroutine.
func (n *Node) tick() {
	now := n.now()
	n.updateHubs(now)
	for id, m := range n.members {
		if now.Sub(m.lastContact) > n.forgetAfter(now, m) {
			n.dropMember(now, id, "router silent")
			continue
		}
		if now.Sub(m.heartbeatSentAt) >= n.heartbeatIntervalTo(m) {
			n.sendHeartbeat(now, m, false)
		}
	}
	// The state change event may have been dropped because the queue was full.
	if n.feed != nil && n.feed.Snapshot() != n.appliedSnapshot {
		n.applyState(now)
	}
	n.decideEnds(now)
	n.probeLagIfStale(now)
	n.contactSeeds(now)
	n.chooseReaders(now)
	n.refuseOnStaleState(now)
	n.retryPlacements(now)
	for key, g := range n.groups {
		n.deliver(now, key, g.core.Tick(time.Duration(now)))
	}
	n.updateHomes(now)
	n.seekSpare(now)
	n.recentPeakMembers.observe(now, len(n.members)+1)
	for _, g := range n.groups {
		n.updateWarmUpGrant(now, g)
		n.updateProbing(g)
	}
	n.pushState(now)
	n.tickEntry(now)
	n.tickQuarantine(now)
	n.tickStreams(now)
	if n.feed != nil {
		n.reportShed(now)
		n.reportUsage(now)
	}
	n.logGroups(now)
}

// seedContactInterval is the mean time between heartbeats to a seed that isn't a member:
// the seed may have been down, or this router may be in a minority partition.
const seedContactInterval = 500 * time.Millisecond

func (n *Node) contactSeeds(now boottime.Time) {
	probability := float64(slowTick) / float64(seedContactInterval)
	if len(n.members) == 0 {
		// A starting router must know its peers before it decides whether to read the platform.
		probability = 1
	}
	for _, ip := range n.cfg.Seeds {
		if ip == n.cfg.IP || n.isMember(ip) || n.random.Float64() > probability {
			continue
		}
		if addr, ok := n.addrOf(ip); ok {
			n.send(addr, &packet{Heartbeat: n.newHeartbeat(now, 0, true)})
		}
	}
}
