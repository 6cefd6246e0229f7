package fleet

import (
	"math"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/aspenswitch/aspenswitch/boottime"
	"github.com/aspenswitch/aspenswitch/dispatch"
	"github.com/aspenswitch/aspenswitch/quarantine"
)

// quarantineState is this router's record of contents that crash upstreams. Except for view
// and the fields guarded by mu, it is owned by the control goroutine.
type quarantineState struct {
	table *quarantine.Table
	view  atomic.Pointer[quarantine.View]
	// notices have not been sent to the members yet.
	notices []quarantine.Notice
	// pendingTrials has the trial requests awaiting the hub's answer, at most one per content.
	pendingTrials map[quarantine.Key]*pendingTrial
	expiredAt     boottime.Time

	// mu guards the fields below it.
	mu sync.Mutex
	// successes has only the successes that this router has observed.
	successes quarantine.RecentSuccesses
	broken    quarantine.BrokenUpstreams
}

const (
	// maxNoticesPerDatagram keeps a datagram below 1.5 kB.
	maxNoticesPerDatagram = 32
	// expireInterval is the interval between checks for expired entries.
	expireInterval = time.Second
	// repairInterval is the minimum interval between repairs of the same peer's table.
	repairInterval = time.Second
)

// Events of the control goroutine.
type (
	crashEvent struct {
		crash quarantine.Crash
	}
	successEvent struct {
		id     quarantine.Key
		reason string
	}
)

// ReportCrash implements gateway.Placer.
func (n *Node) ReportCrash(id quarantine.Key, at dispatch.Incarnation, ran time.Duration) {
	n.post(crashEvent{crash: quarantine.Crash{
		ID: id, Upstream: incarnationHash(at), Sent: time.Duration(n.now().Add(-ran)),
	}})
}

// ReportSuccess implements gateway.Placer.
func (n *Node) ReportSuccess(id quarantine.Key, from dispatch.Incarnation) {
	n.quarantine.addSuccess(time.Duration(n.now()), id, incarnationHash(from))
	if n.Quarantine().HasCrashes(id) {
		n.post(successEvent{id: id, reason: successReason})
	}
}

func (q *quarantineState) addSuccess(now time.Duration, id quarantine.Key, upstream uint32) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.successes.Add(now, id)
	q.broken.RecordSuccess(upstream)
}

func (q *quarantineState) recentlySucceeded(now time.Duration, id quarantine.Key) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.successes.SucceededRecently(now, id)
}

// successReason is logged when a success resets the status of a content.
const successReason = "a request received its complete response"

// Release ends the quarantine of a content at all routers, at an operator's request.
func (n *Node) Release(id quarantine.Key) {
	n.post(successEvent{id: id, reason: "released by an operator"})
}

// Quarantine implements gateway.Placer.
func (n *Node) Quarantine() *quarantine.View { return n.quarantine.view.Load() }

func incarnationHash(at dispatch.Incarnation) uint32 {
	return uint32(xxhash.Sum64String(at.ID + "/" + strconv.FormatInt(at.Started, 10)))
}

// quarantineKey is the key by which the hub of a content is chosen.
func quarantineKey(id quarantine.Key) string { return "content/" + id.Team + "/" + id.String() }

// handleCrash records a crash that this router has observed, and reports it to the hub of
// the content, which counts the crashes observed by all routers. It ignores requests sent to
// broken upstreams.
func (n *Node) handleCrash(now boottime.Time, c quarantine.Crash) {
	if n.quarantine.sentToBrokenUpstream(c) {
		return
	}
	n.reportBroken(now, c.Upstream)
	n.recordCrash(now, c)
	n.sendToHub(now, c.ID, &quarantineUpdate{Crashes: []crashReport{{
		Team: c.ID.Team, Hash: c.ID.Hash, Upstream: c.Upstream, RanMs: millis(time.Duration(now) - c.Sent),
	}}})
}

// sendToHub sends an update to the hub of a content, unless this router is the hub.
func (n *Node) sendToHub(now boottime.Time, id quarantine.Key, update *quarantineUpdate) {
	if hub := n.hubFor(now, quarantineKey(id)); hub != nil {
		n.send(hub.addr, &packet{Infrequent: &infrequent{Quarantine: update}})
	}
}

// clearSuspicion resets the status of a content in this router's table and at its hub.
func (n *Node) clearSuspicion(now boottime.Time, e successEvent) {
	n.recordSuccess(now, e)
	n.sendToHub(now, e.id, &quarantineUpdate{Successes: []successReport{{Team: e.id.Team, Hash: e.id.Hash}}})
}

func (n *Node) recordSuccess(now boottime.Time, e successEvent) {
	notice, changed := n.quarantine.table.Clear(time.Duration(now), e.id)
	if changed {
		n.announce(now, notice, e.reason)
	}
	n.quarantine.view.Store(n.quarantine.table.View())
}

// clearIfSucceeded clears a content that this router recently saw succeed. It guards
// against quarantining a content that many callers share and that was interrupted by
// several unrelated crashes.
func (n *Node) clearIfSucceeded(now boottime.Time, id quarantine.Key) {
	if n.quarantine.table.View().Status(id) != quarantine.Normal && n.quarantine.recentlySucceeded(time.Duration(now), id) {
		n.clearSuspicion(now, successEvent{id: id, reason: successReason})
	}
}

func (n *Node) recordCrash(now boottime.Time, c quarantine.Crash) {
	if notice, changed := n.quarantine.table.RecordCrash(time.Duration(now), c); changed {
		n.announce(now, notice, "upstreams crashed while handling it")
		n.clearIfSucceeded(now, c.ID)
	}
	n.quarantine.view.Store(n.quarantine.table.View())
}

// announce logs a status change or a failed trial and queues its notice for all members. A
// quarantine is sent immediately, without waiting for the next tick.
func (n *Node) announce(now boottime.Time, notice quarantine.Notice, reason string) {
	n.logQuarantine(now, notice.ID, reason)
	n.quarantine.notices = append(n.quarantine.notices, notice)
	if notice.Status == quarantine.Quarantined {
		n.broadcastNotices()
	}
}

// broadcastNotices sends the queued notices to all members.
func (n *Node) broadcastNotices() {
	for part := range slices.Chunk(n.quarantine.notices, maxNoticesPerDatagram) {
		for _, m := range n.members {
			n.sendNotices(m, part)
		}
	}
	n.quarantine.notices = nil
}

func (n *Node) sendNotices(to *member, notices []quarantine.Notice) {
	update := &quarantineUpdate{}
	for _, notice := range notices {
		update.Notices = append(update.Notices, statusNotice{
			Team: notice.ID.Team, Hash: notice.ID.Hash, Status: notice.Status, Version: notice.Version, LeftS: int32(math.Ceil(notice.Left.Seconds())),
			FailedTrials: uint8(min(notice.FailedTrials, math.MaxUint8)),
		})
	}
	n.send(to.addr, &packet{Infrequent: &infrequent{Quarantine: update}})
}

// handleQuarantineUpdate applies the trial message, crashes, successes and notices of a peer.
func (n *Node) handleQuarantineUpdate(now boottime.Time, from *member, update *quarantineUpdate) {
	if update.Trial != nil {
		n.handleTrialMessage(now, from, update.Trial)
	}
	if max(len(update.Crashes), len(update.Successes), len(update.Notices)) > maxNoticesPerDatagram {
		return
	}
	for i := range update.Crashes {
		c := &update.Crashes[i]
		n.recordCrash(now, quarantine.Crash{
			ID:       quarantine.Key{Team: c.Team, Hash: c.Hash},
			Upstream: c.Upstream, Sent: time.Duration(now) - duration(max(c.RanMs, 0)),
		})
	}
	for i := range update.Successes {
		s := &update.Successes[i]
		n.recordSuccess(now, successEvent{id: quarantine.Key{Team: s.Team, Hash: s.Hash}, reason: successReason})
	}
	for i := range update.Notices {
		s := &update.Notices[i]
		id := quarantine.Key{Team: s.Team, Hash: s.Hash}
		if n.quarantine.table.Apply(time.Duration(now), s.notice()) {
			n.logQuarantine(now, id, "notice received from a peer")
			n.clearIfSucceeded(now, id)
		}
	}
	n.quarantine.view.Store(n.quarantine.table.View())
}

// repairQuarantine resends this router's notices to a peer whose digest differs. It guards
// against routers that missed notices, because they were starting or partitioned, and keep
// sending quarantined requests.
func (n *Node) repairQuarantine(now boottime.Time, m *member, digest uint16) {
	if digest == n.quarantine.table.Digest() || now.Sub(m.repairedAt) < repairInterval || !n.isHub && !m.isHub {
		return
	}
	m.repairedAt = now
	for part := range slices.Chunk(n.quarantine.table.Notices(time.Duration(now)), maxNoticesPerDatagram) {
		n.sendNotices(m, part)
	}
}

// tickQuarantine sends queued notices and, every expireInterval, expires entries.
func (n *Node) tickQuarantine(now boottime.Time) {
	if len(n.quarantine.notices) > 0 {
		n.broadcastNotices()
	}
	n.expirePendingTrials(now)
	if now.Sub(n.quarantine.expiredAt) >= expireInterval {
		n.quarantine.expiredAt = now
		n.quarantine.table.Expire(time.Duration(now))
		n.quarantine.view.Store(n.quarantine.table.View())
	}
}

func (n *Node) logQuarantine(now boottime.Time, id quarantine.Key, reason string) {
	e := n.quarantine.table.Get(time.Duration(now), id)
	n.log.Warn().Str("event", "quarantine").Str("team", id.Team).Stringer("content", id).Stringer("status", e.Status).
		Int("crashes", e.Crashes).Int("failed_trials", e.FailedTrials).Int64("left_s", int64(e.Left.Seconds())).Str("why", reason).Msg("quarantine status of a content changed")
}

// notice returns the decoded notice.
func (s *statusNotice) notice() quarantine.Notice {
	return quarantine.Notice{
		ID: quarantine.Key{Team: s.Team, Hash: s.Hash}, Status: s.Status, Version: s.Version,
		Left: time.Duration(s.LeftS) * time.Second, FailedTrials: int(s.FailedTrials),
	}
}
