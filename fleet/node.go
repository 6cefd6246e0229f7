package fleet

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/zeebo/errs"

	"github.com/aspenswitch/aspenswitch/availability"
	"github.com/aspenswitch/aspenswitch/boottime"
	"github.com/aspenswitch/aspenswitch/dispatch"
	"github.com/aspenswitch/aspenswitch/feed"
	"github.com/aspenswitch/aspenswitch/obs"
	"github.com/aspenswitch/aspenswitch/quarantine"
)

// Error is the class of this package's errors.
var Error = errs.Class("fleet")

// Node is a router's membership in the fleet. Its state is owned by the control
// goroutine; other goroutines post events to it.
type Node struct {
	cfg  Config
	self uint64
	now  boottime.Clock
	log  zerolog.Logger
	// limited rate-limits log lines that are caused by requests.
	limited *obs.LimitedLogger
	feed    *feed.Feed

	net    Transport
	random *rand.Rand
	events chan any
	// done is closed when the control goroutine has ended.
	done chan struct{}
	seq  atomic.Uint64
	// sharedPeakRouters is a copy of peakRouters for other goroutines.
	sharedPeakRouters atomic.Int64
	readsPlatform     atomic.Bool
	datagramsSent     atomic.Int64
	pulling           atomic.Bool
	// cacheReports limits how many cache reports are read at the same time.
	cacheReports chan struct{}
	// controlLag is the moving average of the time that placement requests and ticks wait
	// for the control goroutine, in nanoseconds. Other events, such as packets, aren't
	// timed.
	controlLag atomic.Int64
	// readLag is how long the newest received lag probe waited to be read, in nanoseconds.
	readLag atomic.Int64
	// unreadSince is when the oldest lag probe that hasn't been read was sent, 0 if none.
	unreadSince atomic.Int64

	encodedStates stateCache
	// largeStates has an element for each large state that is being sent.
	largeStates  chan struct{}
	pullFailures pullFailures
	shed         shedList
	quarantine   quarantineState
	// availability has the upstreams that are shutting down, as reported by any router.
	availability *availability.Table
	// groupCounts has the number of groups of each service.
	groupCounts *groupCounts
	// groupWeights divides the requests over the groups of a service.
	groupWeights groupWeights

	// outUntil is the time until which this router is out of the load balancer, in nanoseconds of
	// the boot clock, 0 if it isn't.
	outUntil atomic.Int64

	// Owned by the control goroutine.
	entry            entryState
	streams          streamState
	members          map[uint64]*member
	byIP             map[string]*member
	groups           map[groupKey]*group
	pending          map[uint64]*pending
	inFlight         map[uint64]*inFlightRequest
	sessionUpstreams map[uint64]dispatch.Incarnation
	// ledgers aggregate the usage of teams over all homes, each for one partition of the
	// teams. This router last sent its own usage at usageSentAt and sends it again after
	// usageInterval.
	ledgers        [usagePartitions]*dispatch.Ledger
	usageSentAt    boottime.Time
	usageInterval  time.Duration
	pushedRevision int64
	// localServices are the services whose failure domains are large enough for locality.
	localServices localServices
	// appliedSnapshot is the state from which the groups' upstreams were last updated.
	appliedSnapshot *feed.Snapshot
	// domainLeader is the leader of this router's failure domain, nil if it is this
	// router; otherLeaders are those of the other domains, if this router is a reader.
	domainLeader *member
	otherLeaders []*member
	// lastPeerContact is when the last datagram from any member was received.
	lastPeerContact boottime.Time
	leaving         bool
	lagProbe        lagProbe
	// isHub is set if this router is one of the hubs, which were chosen at hubsChosenAt.
	isHub        bool
	hubsChosenAt boottime.Time
	// peakRouters is the largest number of live routers seen since the start, including this
	// one; recentPeakMembers is the largest recent number of routers, live or not.
	peakRouters       int
	recentPeakMembers peakMembers
}

const (
	// logLinesPerSecond limits the log lines of each kind that are caused by requests.
	logLinesPerSecond = 5
	// eventQueueSize holds the events that arrive during one tick of a busy router.
	eventQueueSize = 512
)

// New returns a node that communicates over the given transport, which it closes
// when Run ends.
func New(cfg Config, t Transport, now boottime.Clock, log zerolog.Logger) *Node {
	n := &Node{
		cfg: cfg, now: now, log: log, net: t, random: rand.New(rand.NewPCG(cfg.RandomSeed, 0)),
		limited: obs.NewLimitedLogger(log, logLinesPerSecond),
		events:  make(chan any, eventQueueSize), done: make(chan struct{}),
		cacheReports: make(chan struct{}, maxCacheReports), largeStates: make(chan struct{}, maxLargeStates),
		members: map[uint64]*member{}, byIP: map[string]*member{}, groups: map[groupKey]*group{},
		pending: map[uint64]*pending{}, inFlight: map[uint64]*inFlightRequest{}, sessionUpstreams: map[uint64]dispatch.Incarnation{},
		usageInterval: minUsageInterval, groupCounts: newGroupCounts(cfg.GroupSize),
		availability: availability.NewTable(), streams: newStreamState(), entry: newEntryState(cfg.Metrics),
	}
	for i := range n.ledgers {
		n.ledgers[i] = dispatch.NewLedger(cfg.Engine.ShareWindow)
	}
	n.quarantine.table = quarantine.NewTable(cfg.Quarantine)
	n.quarantine.answeredAt = map[uint32]boottime.Time{}
	n.quarantine.pendingTrials = map[quarantine.Key]*trialRequest{}
	n.quarantine.successes = quarantine.NewRecentSuccesses(quarantine.MaxSuccesses)
	n.quarantine.started = quarantine.NewRecentSuccesses(quarantine.MaxSuccesses)
	n.self = n.random.Uint64()
	n.sharedPeakRouters.Store(1)
	n.readsPlatform.Store(true)
	return n
}

// Attach sets the feed whose state and age the node sends to its peers.
func (n *Node) Attach(f *feed.Feed) { n.feed = f }

// ReadsPlatform reports whether this router is one of the fleet's readers (see maxReaders).
func (n *Node) ReadsPlatform() bool { return n.readsPlatform.Load() }

// Routers implements gateway.Placer. It returns the largest number of live routers seen at
// any time since the start of this router, including itself.
func (n *Node) Routers() int { return int(n.sharedPeakRouters.Load()) }

// Datagrams returns the number of datagrams sent.
func (n *Node) Datagrams() int64 { return n.datagramsSent.Load() }

// NewTicket returns a new identifier for a request.
func (n *Node) NewTicket() dispatch.Ticket {
	return dispatch.Ticket{Router: n.self, Seq: n.seq.Add(1)}
}

// Run runs the node until ctx is cancelled.
func (n *Node) Run(ctx context.Context) {
	go n.receive()
	go n.servePulls()
	n.controlLoop(ctx)
	close(n.done)
	if err := n.net.Close(); err != nil {
		n.log.Warn().Str("event", "stop").Err(err).Msg("failed to close the peer transport")
	}
}

// post sends an event to the control goroutine. It drops the event if that has ended.
func (n *Node) post(e any) {
	select {
	case n.events <- e:
	case <-n.done:
	}
}

// maxDatagram is the size of the receive buffer in bytes. It is well below what the
// network path carries without fragmentation.
const maxDatagram = 8 << 10

// receive decodes datagrams and posts them to the control goroutine until the transport
// is closed.
func (n *Node) receive() {
	buf := make([]byte, maxDatagram)
	for {
		size, from, err := n.net.Receive(buf)
		if err != nil {
			return // closed
		}
		p, err := decodePacket(buf[:size])
		if err != nil {
			n.log.Warn().Str("event", "peer").Stringer("from", from).Err(err).Msg("ignored a malformed datagram")
			continue
		}
		if p.From == n.self && p.Heartbeat == nil {
			continue
		}
		n.post(packetEvent{packet: p, from: from})
	}
}

// send sends one datagram. A failed send is treated as a lost datagram.
func (n *Node) send(to netip.AddrPort, p *packet) {
	p.From = n.self
	raw, err := encodePacket(p)
	if err != nil {
		n.log.Error().Str("event", "peer").Err(err).Msg("failed to encode a datagram")
		return
	}
	n.datagramsSent.Add(1)
	if err := n.net.Send(to, raw); err != nil {
		n.log.Debug().Str("event", "peer").Stringer("to", to).Err(err).Msg("failed to send a datagram")
	}
}

func (n *Node) addrOf(ip string) (netip.AddrPort, bool) {
	addr, err := netip.ParseAddrPort(net.JoinHostPort(ip, strconv.Itoa(n.cfg.Port)))
	return addr, err == nil
}

// Tick intervals of the control goroutine: fast while a request is waiting, slow
// otherwise, because each wake-up costs processor time.
const (
	fastTick = 10 * time.Millisecond
	slowTick = 100 * time.Millisecond
)

// lagDecay is the weight of the previous value in the moving average of the lag, which
// spans about ten requests.
const lagDecay = 0.9

// recordLag adds the time that a placement request or a tick waited for the control
// goroutine to the average.
func (n *Node) recordLag(waited time.Duration) {
	n.controlLag.Store(int64(lagDecay*float64(n.controlLag.Load()) + (1-lagDecay)*float64(waited)))
}

// Lag implements gateway.Placer. It returns the average time that placement requests and
// ticks wait for the control goroutine. Goroutines share the processor, so all of them wait
// about as long.
func (n *Node) Lag() time.Duration { return time.Duration(n.controlLag.Load()) }
