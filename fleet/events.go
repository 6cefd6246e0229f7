package fleet

import (
	"context"
	"net/netip"
	"runtime"
	"time"

	"github.com/aspenswitch/aspenswitch/boottime"
	"github.com/aspenswitch/aspenswitch/dispatch"
)

// Events of the control goroutine.
type (
	packetEvent struct {
		packet *packet
		from   netip.AddrPort
	}
	placeEvent struct {
		service string
		request dispatch.Request
		answer  chan dispatch.Decision
		at      boottime.Time
	}
	reportEvent struct {
		kind    reportKind
		seq     uint64
		outcome dispatch.Outcome
		took    time.Duration
		// load is what the upstream stated with the first byte of its response.
		load dispatch.LoadReport
	}
	stateChangeEvent struct{}
	leaveEvent       struct{}
	cacheReportEvent struct {
		key      groupKey
		upstream dispatch.Incarnation
		parts    []dispatch.Part
	}
	seedsEvent struct{ ips []string }
	// callEvent runs a function on the control goroutine.
	callEvent struct{ do func(now boottime.Time) }
)

// NotifyStateChange reports that the published state has changed. It doesn't block.
func (n *Node) NotifyStateChange() {
	select {
	case n.events <- stateChangeEvent{}:
	default: // the next tick detects the change
	}
}

// SetSeeds replaces the seeds, which are the IPs of routers that may be up.
func (n *Node) SetSeeds(ips []string) { n.post(seedsEvent{ips: ips}) }

// Leave announces to all members that this router is stopping.
func (n *Node) Leave() { n.post(leaveEvent{}) }

func (n *Node) controlLoop(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	due := n.now()
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-n.events:
			n.handleEvent(e)
		case <-timer.C:
			lag := n.now().Sub(due)
			lag = max(lag, n.drainEvents())
			n.tick()
			n.recordLag(lag)
			next := n.nextTick()
			due = n.now().Add(next)
			timer.Reset(next)
		}
	}
}

// drainEvents handles the events that are queued. After a pause of the process, timeouts
// are due while replies still wait in the queue; a home whose reply just hasn't been read
// must not count as silent. It returns the longest time that other goroutines ran when the
// processor was yielded to them: incoming datagrams wait as long before they are read.
func (n *Node) drainEvents() (waited time.Duration) {
	for range 2 {
		start := n.now()
		runtime.Gosched()
		waited = max(waited, n.now().Sub(start))
		for left := len(n.events); left > 0; left-- {
			n.handleEvent(<-n.events)
		}
	}
	return waited
}

func (n *Node) nextTick() time.Duration {
	if len(n.pending) > 0 || len(n.streams.pending) > 0 {
		return fastTick
	}
	for _, g := range n.groups {
		if g.core.HasWaiting() {
			return fastTick
		}
	}
	return slowTick
}

func (n *Node) handleEvent(e any) {
	now := n.now()
	switch e := e.(type) {
	case packetEvent:
		n.handlePacket(now, e)
	case placeEvent:
		n.recordLag(now.Sub(e.at))
		n.place(now, e)
	case reportEvent:
		n.forwardReport(now, e)
	case stateChangeEvent:
		n.applyState(now)
	case leaveEvent:
		n.leaving = true
		n.broadcastHeartbeat(now)
	case cacheReportEvent:
		if g := n.groups[e.key]; g != nil {
			g.core.SeedCache(e.upstream, e.parts)
		}
	case seedsEvent:
		n.cfg.Seeds = e.ips
	case crashEvent:
		n.handleCrash(now, e)
	case unconfirmedEndEvent:
		n.handleUnconfirmedEnd(now, e)
	case successEvent:
		n.clearSuspicion(now, e)
	case trialEvent:
		n.handleTrial(now, e)
	case leavingEvent:
		n.handleLeaving(now, e)
	case probeEvent:
		n.handleProbe(now, e)
	case streamBeganEvent:
		n.recordStream(now, e)
	case streamVersionEvent:
		n.findStreamVersion(now, e)
	case callEvent:
		e.do(now)
	}
}

func (n *Node) handlePacket(now boottime.Time, e packetEvent) {
	p := e.packet
	if p.From == n.self {
		n.handleLagProbe(now, p.Heartbeat)
		return
	}
	if p.Heartbeat != nil {
		n.handleHeartbeat(now, p.From, p.Heartbeat)
	}
	if m := n.members[p.From]; m != nil {
		m.lastContact, m.unresponsive, m.silent, m.polledInVainSince = now, false, false, 0
		n.lastPeerContact = now
	}
	if p.Ask != nil {
		n.handlePlaceRequest(now, p.From, p.Ask)
	}
	if p.Reply != nil {
		n.handlePlaceReply(now, n.members[p.From], p.Reply)
	}
	if p.Report != nil {
		n.handleReport(now, p.From, p.Report)
	}
	if p.Stream != nil {
		n.handleStreamMessage(now, p.From, p.Stream)
	}
	if p.Infrequent != nil {
		n.handleInfrequent(now, p.From, p.Infrequent)
	}
	if p.Extension != nil {
		n.handleExtension(now, p.From, p.Extension)
	}
}

func (n *Node) handleExtension(now boottime.Time, from uint64, e *extension) {
	m := n.members[from]
	if m != nil && e.Entry != nil {
		n.handleEntryMessage(now, m, e.Entry)
	}
	if m != nil && e.Spare != nil {
		n.handleSpareMessage(now, m, e.Spare)
	}
}

func (n *Node) handleInfrequent(now boottime.Time, from uint64, m *infrequent) {
	if m.Shed != nil {
		n.handleShedReport(now, from, m.Shed)
	}
	if m.Usage != nil {
		n.handleUsageReport(now, from, m.Usage)
	}
	if peer := n.members[from]; m.Quarantine != nil && peer != nil {
		n.handleQuarantineUpdate(now, peer, m.Quarantine)
	}
	if m.Broken != nil && n.members[from] != nil {
		n.handleBroken(now, m.Broken.Upstream, m.Broken.Announced)
	}
	if m.Leaving != nil && n.members[from] != nil {
		n.handleLeavingReport(now, m.Leaving)
	}
}
