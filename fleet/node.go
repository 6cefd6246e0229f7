package fleet

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
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

// Node is one router's part in the fleet. One goroutine owns its state; the
// others talk to it through events.
type Node struct {
	cfg  Config
	self uint64
	now  boottime.Clock
	log  zerolog.Logger
	// limited bounds lines that come with requests.
	limited *obs.LimitedLogger
	feed    *feed.Feed

	net    Transport
	random *rand.Rand
	events chan any
	// over is closed when the control goroutine has ended.
	over    chan struct{}
	seq     atomic.Uint64
	routers atomic.Int64
	reads   atomic.Bool
	sent    atomic.Int64
	pulling atomic.Bool
	// lag is how long requests wait for the control goroutine, averaged.
	lag atomic.Int64
	// readLag is how long the newest mark waited to be read.
	readLag atomic.Int64
	// unreadSince is when the oldest mark was sent that hasn't been read, 0 if none.
	unreadSince atomic.Int64

	shed       shedList
	quarantine quarantineState
	// availability has the upstreams that are shutting down, as reported by any router.
	availability *availability.Table
	// counts are into how many groups services' upstreams fall.
	counts *groupCounts

	// Owned by the control goroutine.
	members map[uint64]*member
	byIP    map[string]*member
	groups  map[groupKey]*group
	pending map[uint64]*pending
	held    map[uint64]*heldRequest
	warm    map[uint64]dispatch.Incarnation
	// ledgers add up what teams got from all homes, each for a part of the teams. This
	// router told what its homes gave at talliedAt, and tells again after tallyEvery.
	ledgers    [tallyParts]*dispatch.Ledger
	talliedAt  boottime.Time
	tallyEvery time.Duration
	pushed     int64
	// filled is the state from which the groups have their upstreams.
	filled *feed.Snapshot
	// leadOf is the lead of this router's failure domain, nil if it is itself;
	// told are the other domains' leads, if this router is a reader.
	leadOf *member
	told   []*member
	// heardAt is when any peer was heard last.
	heardAt boottime.Time
	leaving bool
	marks   marks
	// hub is set if this router is one of the hubs, which were chosen at hubsAt.
	hub    bool
	hubsAt boottime.Time
	most   int
	// fleetSize remembers how many routers there were of late.
	fleetSize fleetSize
}

const (
	// logLines is how many lines a second of each kind come with requests.
	logLines = 5
	// eventQueue holds what comes in during a tick of a busy router.
	eventQueue = 512
)

// New returns a node that talks to its peers over a transport, which it closes
// when Run ends.
func New(cfg Config, t Transport, now boottime.Clock, log zerolog.Logger) *Node {
	n := &Node{
		cfg: cfg, now: now, log: log, net: t, random: rand.New(rand.NewPCG(cfg.RandomSeed, 0)),
		limited: obs.NewLimitedLogger(log, logLines),
		events:  make(chan any, eventQueue), over: make(chan struct{}),
		members: map[uint64]*member{}, byIP: map[string]*member{}, groups: map[groupKey]*group{},
		pending: map[uint64]*pending{}, held: map[uint64]*heldRequest{}, warm: map[uint64]dispatch.Incarnation{},
		tallyEvery: minTallyEvery, counts: newGroupCounts(cfg.GroupSize),
		availability: availability.NewTable(),
	}
	for i := range n.ledgers {
		n.ledgers[i] = dispatch.NewLedger(cfg.Engine.ShareWindow)
	}
	n.quarantine.table = quarantine.NewTable(cfg.Quarantine)
	n.quarantine.pendingTrials = map[quarantine.ContentID]*pendingTrial{}
	n.self = n.random.Uint64()
	n.routers.Store(1)
	n.reads.Store(true)
	return n
}

// Attach gives the node the feed whose freshness it spreads.
func (n *Node) Attach(f *feed.Feed) { n.feed = f }

// Reads reports whether this router reads the platform for its failure domain.
func (n *Node) ReadsPlatform() bool { return n.reads.Load() }

// Routers is the number of routers heard of lately, this one included.
func (n *Node) Routers() int { return int(n.routers.Load()) }

// Datagrams is the number of datagrams sent.
func (n *Node) Datagrams() int64 { return n.sent.Load() }

// NewTicket names a request.
func (n *Node) NewTicket() dispatch.Ticket {
	return dispatch.Ticket{Router: n.self, Seq: n.seq.Add(1)}
}

// Run serves until ctx ends.
func (n *Node) Run(ctx context.Context) {
	go n.receive()
	go n.servePulls()
	n.control(ctx)
	close(n.over)
	if err := n.net.Close(); err != nil {
		n.log.Warn().Str("event", "stop").Err(err).Msg("peers' listener not closed")
	}
}

// post hands an event to the control goroutine. After its end nobody takes it.
func (n *Node) post(e any) {
	select {
	case n.events <- e:
	case <-n.over:
	}
}

// maxDatagram fits in what the path carries without fragments, with room.
const maxDatagram = 8 << 10

// receive passes datagrams to the control goroutine.
func (n *Node) receive() {
	buf := make([]byte, maxDatagram)
	for {
		size, from, err := n.net.Receive(buf)
		if err != nil {
			return // closed
		}
		p := &packet{}
		if err := cbor.Unmarshal(buf[:size], p); err != nil {
			n.log.Warn().Str("event", "peer").Stringer("from", from).Err(err).Msg("datagram left out")
			continue
		}
		if p.From == n.self && p.Beat == nil {
			continue
		}
		n.post(received{packet: p, from: from})
	}
}

// send writes one datagram. One that can't be sent counts as lost on the way.
func (n *Node) send(to netip.AddrPort, p *packet) {
	p.From = n.self
	raw, err := cbor.Marshal(p)
	if err != nil {
		n.log.Error().Str("event", "peer").Err(err).Msg("datagram not encoded")
		return
	}
	n.sent.Add(1)
	if err := n.net.Send(to, raw); err != nil {
		n.log.Debug().Str("event", "peer").Stringer("to", to).Err(err).Msg("datagram not sent")
	}
}

func (n *Node) addrOf(ip string) (netip.AddrPort, bool) {
	at, err := netip.ParseAddrPort(net.JoinHostPort(ip, strconv.Itoa(n.cfg.Port)))
	return at, err == nil
}

// Ticks of the control goroutine: fast while a request waits for anything, slow
// otherwise, as each wake-up costs processor time.
const (
	fastTick = 10 * time.Millisecond
	slowTick = 100 * time.Millisecond
)

// lagKeep is the weight of the past in the average lag: some ten requests.
const lagKeep = 0.9

// noteLag averages how long requests waited for the control goroutine.
func (n *Node) noteLag(waited time.Duration) {
	n.lag.Store(int64(lagKeep*float64(n.lag.Load()) + (1-lagKeep)*float64(waited)))
}

// Lag is how far this router is behind with its work. Goroutines take turns, so
// what the control goroutine waits, all wait.
func (n *Node) Lag() time.Duration { return time.Duration(n.lag.Load()) }
