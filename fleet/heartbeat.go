package fleet

import (
	"time"

	"github.com/aspenswitch/aspenswitch/boottime"
)

// heardBeat takes in a heartbeat.
func (n *Node) heardBeat(now boottime.Time, id uint64, b *beat) {
	at, ok := n.addrOf(b.IP)
	if !ok {
		return
	}
	m := n.members[id]
	if m == nil {
		m = &member{candidate: newCandidate(id, b.Weight, b.Domain), addr: at, ip: b.IP, weight: b.Weight, nearAt: now}
		n.replaceIncarnation(now, m)
		n.members[id] = m
		n.byIP[m.ip] = m
		n.log.Info().Str("event", "member").Uint64("router", id).Str("ip", b.IP).Str("domain", b.Domain).
			Int("members", len(n.members)).Msg("router joined")
		b.Answer = true
		n.hubsAt = 0
	}
	m.leaving = b.Leaving
	if b.Hub != m.needsUs {
		m.needsUs, m.nearAt = b.Hub, now
	}
	m.stateAge = time.Duration(b.AgeNanos)
	m.theirs = max(m.theirs, b.Sent)
	m.heard, m.silent = now, false
	n.updateHubs(now)
	n.vouched(m, b)
	n.repairQuarantine(now, m, b.Quarantine)
	n.meet(now, b.Peers)
	if b.Answer {
		n.beatTo(now, m, false)
	}
}

// replaceIncarnation drops an earlier process at the same address.
func (n *Node) replaceIncarnation(now boottime.Time, m *member) {
	if old := n.byIP[m.ip]; old != nil {
		n.dropMember(now, old.id, "router replaced")
	}
}

func (n *Node) dropMember(now boottime.Time, id uint64, why string) {
	delete(n.byIP, n.members[id].ip)
	delete(n.members, id)
	n.log.Info().Str("event", "member").Uint64("router", id).Int("members", len(n.members)).Msg(why)
	for key, g := range n.groups {
		n.deliver(now, key, g.core.DropRouter(time.Duration(now), id))
	}
}

// vouched takes the peer's word on how fresh the published state is. The echo
// dates it on this router's clock: the peer spoke after it had heard this
// router's heartbeat of that moment, so no delay on the way makes it younger.
func (n *Node) vouched(m *member, b *beat) {
	if n.feed == nil || b.Revision == 0 {
		return
	}
	at := boottime.Time(b.Echo - b.AgeNanos)
	// A peer that hasn't heard of this incarnation echoes the one before. After a loss
	// of power its clock was another, hours ahead: the view would be dated in the
	// future, and the right to serve on it would not end.
	if b.Echo == 0 || b.EchoOf != uint32(n.self) {
		at = 0
	}
	if n.feed.ConfirmRevision(b.Revision, at) {
		n.pullFrom(m.addr)
	}
}

// meet sends a first heartbeat to routers that a peer knows.
func (n *Node) meet(now boottime.Time, ips []string) {
	for _, ip := range ips {
		if ip == n.cfg.IP || n.knows(ip) {
			continue
		}
		if at, ok := n.addrOf(ip); ok {
			n.send(at, &packet{Beat: n.newBeat(now, 0, true)})
		}
	}
}

func (n *Node) knows(ip string) bool { return n.byIP[ip] != nil }

// peersTold is how many peers a heartbeat names: a few draws spread the whole
// list within seconds.
const peersTold = 4

func (n *Node) newBeat(now boottime.Time, echo int64, answer bool) *beat {
	b := &beat{
		Sent: int64(now), Echo: echo, IP: n.cfg.IP, Domain: n.cfg.Domain, Weight: n.cfg.Weight,
		Leaving: n.leaving, Answer: answer, Quarantine: n.quarantine.table.Digest(),
	}
	if n.feed != nil {
		// The age is read before the revision: a newer state only looks older.
		b.AgeNanos = int64(n.feed.Age())
		if s := n.feed.Snapshot(); s != nil {
			b.Revision = s.Revision
		}
	}
	for _, m := range n.members {
		if len(b.Peers) == peersTold {
			break
		}
		b.Peers = append(b.Peers, m.ip)
	}
	return b
}

func (n *Node) beatTo(now boottime.Time, m *member, answer bool) {
	m.beatAt = now
	b := n.newBeat(now, m.theirs, answer)
	b.EchoOf, b.Hub = uint32(m.id), m.hub
	n.send(m.addr, &packet{Beat: b})
}

func (n *Node) beatAll(now boottime.Time) {
	for _, m := range n.members {
		n.beatTo(now, m, false)
	}
}

// tick sends what is due.
func (n *Node) tick() {
	now := n.now()
	n.updateHubs(now)
	for id, m := range n.members {
		if now.Sub(m.heard) > n.forgetAfter(now, m) {
			n.dropMember(now, id, "router silent")
			continue
		}
		if now.Sub(m.beatAt) >= n.periodOf(m) {
			n.beatTo(now, m, false)
		}
	}
	// A full queue may have dropped the word of a change.
	if n.feed != nil && n.feed.Snapshot() != n.filled {
		n.changed(now)
	}
	n.markOldView(now)
	n.seek(now)
	n.chooseReaders(now)
	n.retryAsks(now)
	for key, g := range n.groups {
		n.deliver(now, key, g.core.Tick(time.Duration(now)))
	}
	n.checkHomes(now)
	n.fleetSize.observe(now, len(n.members)+1)
	for key, g := range n.groups {
		n.updateWarmUpGrant(now, g)
		n.probeWarmUps(now, key, g)
	}
	n.pushState(now)
	n.tickQuarantine(now)
	if n.feed != nil {
		n.tellShed(now)
		n.tellTallies(now)
	}
	n.logGroups(now)
}

// seekEvery is the mean time between heartbeats to seeds that aren't members:
// they may have been down, or this router may be cut off with a few others.
const seekEvery = 500 * time.Millisecond

func (n *Node) seek(now boottime.Time) {
	chance := float64(slowTick) / float64(seekEvery)
	for _, ip := range n.cfg.Seeds {
		if ip == n.cfg.IP || n.knows(ip) || n.random.Float64() > chance {
			continue
		}
		if at, ok := n.addrOf(ip); ok {
			n.send(at, &packet{Beat: n.newBeat(now, 0, true)})
		}
	}
}
