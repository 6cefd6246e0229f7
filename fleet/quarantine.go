package fleet

import (
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

// quarantineState is this router's record of contents and parts of prompts that crash upstreams.
// Except for view and the fields guarded by mu, it is owned by the control goroutine.
type quarantineState struct {
	table *quarantine.Table
	view  atomic.Pointer[quarantine.View]
	// outdated is set if view lacks crashes or successes that change no status. A view is a copy
	// of the table, and a crash of an upstream is reported once for each of its requests.
	outdated    bool
	publishedAt boottime.Time
	// notices have not been sent to the members yet.
	notices []quarantine.Notice
	// pendingTrials has the trial requests awaiting the hub's answer, at most one per key.
	pendingTrials map[quarantine.Key]*trialRequest
	start         quarantineStart
	expiredAt     boottime.Time
	// ends are the streams whose end isn't confirmed, the oldest first.
	ends []unconfirmedEnd

	// mu guards the fields below it.
	mu sync.Mutex
	// successes has the contents, started the parts of which this router has observed that they
	// are harmless.
	successes, started *quarantine.RecentSuccesses
	broken             quarantine.BrokenUpstreams
	// answeredAt is when the upstreams of ends last answered this router, 0 if not since the first end.
	answeredAt map[uint32]boottime.Time
}

const (
	// maxNoticesPerDatagram keeps a datagram below 1.5 kB.
	maxNoticesPerDatagram = 32
	// expireInterval is the interval between checks for expired entries.
	expireInterval = time.Second
	// publishInterval is the minimum interval between two views without a change of status. A full
	// table takes 1.6 ms of a core to copy.
	publishInterval = 100 * time.Millisecond
	// repairInterval is the minimum interval between repairs of the same peer's table.
	repairInterval = time.Second
)

// Events of the control goroutine.
type (
	// crashEvent is a request that was interrupted because its upstream closed the connection.
	crashEvent struct {
		request  quarantine.Interruption
		upstream uint32
		sent     time.Duration
	}
	successEvent struct {
		key    quarantine.Key
		reason string
	}
)

// ReportCrash implements gateway.Placer.
func (n *Node) ReportCrash(request quarantine.Interruption, at dispatch.Incarnation, ran time.Duration) {
	n.post(crashEvent{request: request, upstream: incarnationHash(at), sent: time.Duration(n.now().Add(-ran))})
}

// ReportSuccess implements gateway.Placer.
func (n *Node) ReportSuccess(content quarantine.Key, from dispatch.Incarnation) {
	n.quarantine.addSuccess(time.Duration(n.now()), content, incarnationHash(from))
	if n.Quarantine().HasCrashes(content) {
		n.post(successEvent{key: content, reason: successReason})
	}
}

// ReportStarted implements gateway.Placer.
func (n *Node) ReportStarted(parts []dispatch.Part, from dispatch.Incarnation) {
	n.quarantine.addStarted(time.Duration(n.now()), parts, incarnationHash(from))
	view := n.Quarantine()
	if !view.HasParts() {
		return
	}
	for _, part := range parts {
		if key := quarantine.NewPartKey(part.ID); view.HasCrashes(key) {
			n.post(successEvent{key: key, reason: startedReason})
		}
	}
}

func (q *quarantineState) addSuccess(now time.Duration, content quarantine.Key, upstream uint32) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.successes.Add(now, content)
	q.recordAnswer(now, upstream)
}

func (q *quarantineState) addStarted(now time.Duration, parts []dispatch.Part, upstream uint32) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, part := range parts {
		q.started.Add(now, quarantine.NewPartKey(part.ID))
	}
	q.recordAnswer(now, upstream)
}

// succeeded reports whether this router has observed that a key is harmless: shortly before now, or
// at all.
func (q *quarantineState) succeeded(now time.Duration, key quarantine.Key) (recently, before bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !key.Part {
		return q.successes.SucceededWithin(now, key, quarantine.SuccessWindow), q.successes.SucceededWithin(now, key, quarantine.ProvenWindow)
	}
	return q.started.SucceededWithin(now, key, quarantine.PartSuccessWindow), q.started.SucceededWithin(now, key, quarantine.ProvenWindow)
}

// Reasons that are logged when a key's status is reset.
const (
	successReason = "a request received its complete response"
	startedReason = "an answer to a prompt with the part has started"
)

// Release ends the quarantine of a content at all routers, at an operator's request. A part stays in
// quarantine until its next trial, which is due within seconds: its requests come from many callers,
// and would crash several upstreams before it is quarantined again.
func (n *Node) Release(key quarantine.Key) {
	if !key.Part {
		n.post(successEvent{key: key, reason: "released by an operator"})
		return
	}
	n.post(callEvent{do: func(now boottime.Time) {
		if notice, changed := n.quarantine.table.RetryTrials(time.Duration(now), key); changed {
			n.announce(now, notice, "trial requested by an operator")
			n.publishQuarantine()
		}
	}})
}

// Quarantine implements gateway.Placer.
func (n *Node) Quarantine() *quarantine.View { return n.quarantine.view.Load() }

// publishQuarantine makes the statuses of the table available to the goroutines of requests.
func (n *Node) publishQuarantine() {
	n.quarantine.outdated, n.quarantine.publishedAt = false, n.now()
	n.quarantine.view.Store(n.quarantine.table.View())
}

func incarnationHash(at dispatch.Incarnation) uint32 {
	return uint32(xxhash.Sum64String(at.ID + "/" + strconv.FormatInt(at.Started, 10)))
}

// quarantineHubKey is the key by which the hub of a quarantine key is chosen.
func quarantineHubKey(key quarantine.Key) string {
	if key.Part {
		return "part/" + key.String()
	}
	return "content/" + key.Team + "/" + key.String()
}

// handleCrash records a crash that this router has observed, and reports it to the hubs of its
// keys, which count the crashes observed by all routers. It ignores requests sent to broken
// upstreams, but for the keys of a trial: these would wait for its result, and it isn't known
// whether the upstream was still there.
func (n *Node) handleCrash(now boottime.Time, e crashEvent) {
	keys := e.request.Keys
	if n.quarantine.sentToBrokenUpstream(e.sent, e.upstream) {
		keys = e.request.TrialOf
	} else {
		n.reportBroken(now, e.upstream)
	}
	n.reportCrash(now, e, keys)
}

// reportCrash records a crash for the given keys and reports it to their hubs.
func (n *Node) reportCrash(now boottime.Time, e crashEvent, keys []quarantine.Key) {
	updates := map[*member]*quarantineUpdate{}
	for _, key := range keys {
		n.recordCrash(now, quarantine.Crash{ID: key, Team: e.request.Team, Upstream: e.upstream, Sent: e.sent})
		hub := n.hubFor(now, quarantineHubKey(key))
		if hub == nil {
			continue
		}
		if updates[hub] == nil {
			updates[hub] = &quarantineUpdate{}
		}
		updates[hub].Crashes = append(updates[hub].Crashes, newCrashReport(key, e, time.Duration(now)))
	}
	for hub, update := range updates {
		n.send(hub.addr, &packet{Infrequent: &infrequent{Quarantine: update}})
	}
}

// sendToHub sends an update to the hub of a key, unless this router is the hub.
func (n *Node) sendToHub(now boottime.Time, key quarantine.Key, update *quarantineUpdate) {
	if hub := n.hubFor(now, quarantineHubKey(key)); hub != nil {
		n.send(hub.addr, &packet{Infrequent: &infrequent{Quarantine: update}})
	}
}

// clearSuspicion resets the status of a key in this router's table and at its hub.
func (n *Node) clearSuspicion(now boottime.Time, e successEvent) {
	n.recordSuccess(now, e)
	n.sendToHub(now, e.key, &quarantineUpdate{Successes: []successReport{newSuccessReport(e.key)}})
}

func (n *Node) recordSuccess(now boottime.Time, e successEvent) {
	n.quarantine.outdated = true
	notice, changed := n.quarantine.table.Clear(time.Duration(now), e.key)
	if !changed {
		return
	}
	n.publishQuarantine()
	n.logQuarantine(now, notice.ID, e.reason)
	// Many routers may see the success of a key that many requests share. Only the hub, to which
	// they report it, announces it.
	if n.hubFor(now, quarantineHubKey(e.key)) == nil {
		n.quarantine.notices = append(n.quarantine.notices, notice)
		n.broadcastNotices()
	}
}

// clearIfSucceeded clears a key that this router recently saw succeed. It guards against
// quarantining a content or a part that many callers share and that was interrupted by several
// unrelated crashes.
func (n *Node) clearIfSucceeded(now boottime.Time, key quarantine.Key) {
	if n.quarantine.table.View().Status(key) == quarantine.Normal {
		return
	}
	recently, before := n.quarantine.succeeded(time.Duration(now), key)
	switch {
	case recently:
		n.clearSuspicion(now, successEvent{key: key, reason: successReason})
	case before:
		if notice, changed := n.quarantine.table.SetProven(time.Duration(now), key); changed {
			n.reportProven(now, notice)
		}
	}
}

// reportProven reports to the hub of a key, or to all members if this router is the hub, that the key
// was harmless before: the hub may have started since, or serve no requests with it.
func (n *Node) reportProven(now boottime.Time, notice quarantine.Notice) {
	if hub := n.hubFor(now, quarantineHubKey(notice.ID)); hub != nil {
		n.sendNotices(hub, []quarantine.Notice{notice})
		return
	}
	n.quarantine.notices = append(n.quarantine.notices, notice)
}

// applyProven records that a peer has seen that a key was harmless before its quarantine.
func (n *Node) applyProven(now boottime.Time, key quarantine.Key) {
	notice, changed := n.quarantine.table.SetProven(time.Duration(now), key)
	if changed && n.hubFor(now, quarantineHubKey(key)) == nil {
		n.quarantine.notices = append(n.quarantine.notices, notice)
	}
}

func (n *Node) recordCrash(now boottime.Time, c quarantine.Crash) {
	n.quarantine.outdated = true
	if notice, changed := n.quarantine.table.RecordCrash(time.Duration(now), c); changed {
		n.announce(now, notice, "upstreams crashed while handling it")
		n.clearIfSucceeded(now, c.ID)
		n.publishQuarantine()
	}
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
		update.Notices = append(update.Notices, newStatusNotice(notice))
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
		n.recordCrash(now, update.Crashes[i].crash(time.Duration(now)))
	}
	for i := range update.Successes {
		n.recordSuccess(now, successEvent{key: update.Successes[i].key(), reason: "a peer saw it succeed"})
	}
	changed := false
	for i := range update.Notices {
		notice := update.Notices[i].notice()
		if n.quarantine.table.Apply(time.Duration(now), notice) {
			changed = true
			n.logQuarantine(now, notice.ID, "notice received from a peer")
			n.clearIfSucceeded(now, notice.ID)
		}
		if notice.Proven {
			n.applyProven(now, notice.ID)
		}
	}
	if changed {
		n.publishQuarantine()
	}
	if len(update.Notices) > 0 {
		n.quarantine.start.end()
	}
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
	n.quarantine.start.expire(now)
	if n.quarantine.outdated && now.Sub(n.quarantine.publishedAt) >= publishInterval {
		n.publishQuarantine()
	}
	if now.Sub(n.quarantine.expiredAt) >= expireInterval {
		n.quarantine.expiredAt = now
		n.quarantine.table.Expire(time.Duration(now))
		n.publishQuarantine()
	}
}

func (n *Node) logQuarantine(now boottime.Time, key quarantine.Key, reason string) {
	e := n.quarantine.table.Get(time.Duration(now), key)
	line := n.log.Warn().Str("event", "quarantine")
	if key.Part {
		line = line.Stringer("part", key)
	} else {
		line = line.Str("team", key.Team).Stringer("content", key)
	}
	line.Stringer("status", e.Status).Int("crashes", e.Crashes).Int("failed_trials", e.FailedTrials).Int64("left_s", int64(e.Left.Seconds())).
		Str("why", reason).Msg("quarantine status of a content or a part changed")
}
