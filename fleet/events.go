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
	received struct {
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
	}
	changeEvent struct{}
	leaveEvent  struct{}
	cachedEvent struct {
		key      groupKey
		upstream dispatch.Incarnation
		parts    []dispatch.Part
	}
	seedsEvent struct{ ips []string }
	// inspectEvent runs a function on the control state.
	inspectEvent struct{ do func(now boottime.Time) }
)

// Changed tells that the published state has changed.
func (n *Node) Changed() {
	select {
	case n.events <- changeEvent{}:
	default: // the tick finds the change as well
	}
}

// SetSeeds replaces the routers that may be up.
func (n *Node) SetSeeds(ips []string) { n.post(seedsEvent{ips: ips}) }

// Leave tells the peers that this router stops.
func (n *Node) Leave() { n.post(leaveEvent{}) }

func (n *Node) control(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	due := n.now()
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-n.events:
			n.handle(e)
		case <-timer.C:
			late := n.now().Sub(due)
			late = max(late, n.catchUp())
			n.tick()
			n.noteLag(late)
			next := n.nextTick()
			due = n.now().Add(next)
			timer.Reset(next)
		}
	}
}

// catchUp handles what has come in already. A router that was held up finds its
// timers due and the answers beside them; it must not take a home for silent
// whose answer it just hasn't read. It returns how long others had their turns: what
// comes over the network waits as long before it is read.
func (n *Node) catchUp() (waited time.Duration) {
	for range 2 {
		began := n.now()
		runtime.Gosched()
		waited = max(waited, n.now().Sub(began))
		for left := len(n.events); left > 0; left-- {
			n.handle(<-n.events)
		}
	}
	return waited
}

func (n *Node) nextTick() time.Duration {
	if len(n.pending) > 0 {
		return fastTick
	}
	for _, g := range n.groups {
		if g.core.HasWaiting() {
			return fastTick
		}
	}
	return slowTick
}

func (n *Node) handle(e any) {
	now := n.now()
	switch e := e.(type) {
	case received:
		n.receivePacket(now, e)
	case placeEvent:
		n.noteLag(now.Sub(e.at))
		n.place(now, e)
	case reportEvent:
		n.reported(now, e)
	case changeEvent:
		n.changed(now)
	case leaveEvent:
		n.leaving = true
		n.beatAll(now)
	case cachedEvent:
		if g := n.groups[e.key]; g != nil {
			g.core.SeedCache(e.upstream, e.parts)
		}
	case seedsEvent:
		n.cfg.Seeds = e.ips
	case crashEvent:
		n.handleCrash(now, e.crash)
	case successEvent:
		n.clearSuspicion(now, e)
	case trialEvent:
		n.handleTrial(now, e)
	case leavingEvent:
		n.handleLeaving(now, e)
	case warmUpEvent:
		n.takeWarmUp(now, e)
	case inspectEvent:
		e.do(now)
	}
}

func (n *Node) receivePacket(now boottime.Time, e received) {
	p := e.packet
	if p.From == n.self {
		n.readMark(now, p.Beat)
		return
	}
	if p.Beat != nil {
		n.heardBeat(now, p.From, p.Beat)
	}
	if m := n.members[p.From]; m != nil {
		m.heard, m.doubted, m.silent = now, false, false
		n.heardAt = now
	}
	if p.Ask != nil {
		n.asked(now, p.From, p.Ask)
	}
	if p.Reply != nil {
		n.replied(now, n.members[p.From], p.Reply)
	}
	if p.Report != nil {
		n.takeReport(now, p.From, p.Report)
	}
	if p.Infrequent != nil {
		n.takeInfrequent(now, p.From, p.Infrequent)
	}
}

func (n *Node) takeInfrequent(now boottime.Time, from uint64, m *infrequent) {
	if m.Shed != nil {
		n.takeShed(now, from, m.Shed)
	}
	if m.Tally != nil {
		n.takeTally(now, from, m.Tally)
	}
	if peer := n.members[from]; m.Quarantine != nil && peer != nil {
		n.takeQuarantineUpdate(now, peer, m.Quarantine)
	}
	if m.Broken != nil && n.members[from] != nil {
		n.takeBroken(now, m.Broken.Upstream, m.Broken.Announced)
	}
	if m.Leaving != nil && n.members[from] != nil {
		n.takeLeaving(now, m.Leaving)
	}
}
