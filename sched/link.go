package sched

import (
	"time"

	"github.com/aspenswitch/aspenswitch/fairness"
)

// link is what a node keeps for one peer.
type link struct {
	name string
	// lastSent is the last sequence number sent, lastReceived the last one received.
	lastSent, lastReceived uint64
	// incarnation is the peer's, as of heard.
	incarnation uint64
	receivedAt  time.Time
	sentAt      time.Time
	// leaseUntil is the end of every slot leased from the peer.
	leaseUntil time.Time

	redialedAt time.Time
	// liveHash is the peer's last Live. settled is set once the peer has acknowledged
	// a message sent since this router's own liveHash routers changed, changeSeq or
	// later, and acts by the same ones.
	liveHash  uint32
	converged bool
	changeSeq uint64
	ackSentAt time.Time
	// unackedSentAt holds when each message that is not acknowledged yet was sent.
	unackedSentAt map[uint64]time.Time
	// grants and reports are upstreams whose lease counters the peer must learn.
	grants, reports map[int]bool
	// pendingEntries holds, by pool, the accounts that the peer must learn.
	pendingEntries map[int][]fairness.Entry
	// urgent sends the next message without waiting for a tick.
	urgent bool
	// sendFull sends every account: the peer is new or missed a message.
	sendFull bool
	// requestFull asks the peer for everything.
	requestFull bool
	// sendSnapshot sends what the peer needs to join.
	sendSnapshot bool
}

func newLink(name string) *link {
	return &link{
		name:           name,
		unackedSentAt:  map[uint64]time.Time{},
		grants:         map[int]bool{},
		reports:        map[int]bool{},
		pendingEntries: map[int][]fairness.Entry{},
		sendFull:       true,
		urgent:         true,
	}
}

// reset forgets the peer's earlier incarnation.
func (l *link) reset(incarnation uint64) {
	l.incarnation = incarnation
	l.lastReceived = 0
	l.liveHash, l.converged = 0, false
	l.sendFull = true
	l.requestFull = false
	clear(l.unackedSentAt)
	clear(l.grants)
	clear(l.reports)
}

// clearPending forgets what the message that goes out now tells.
func (l *link) clearPending() {
	l.urgent, l.sendFull, l.requestFull, l.sendSnapshot = false, false, false, false
	clear(l.grants)
	clear(l.reports)
	clear(l.pendingEntries)
}

// addEntries adds accounts that the peer must learn; newer ones take the place of
// older ones.
func (l *link) addEntries(pool int, due []fairness.Entry) {
	byTeam := map[fairness.TeamID]bool{}
	for _, e := range due {
		byTeam[e.Team] = true
	}
	var kept []fairness.Entry
	for _, e := range l.pendingEntries[pool] {
		if !byTeam[e.Team] {
			kept = append(kept, e)
		}
	}
	l.pendingEntries[pool] = append(kept, due...)
}

// resetConvergence begins to wait for the peer's word on the new live routers.
func (l *link) resetConvergence() {
	l.converged = false
	l.changeSeq = l.lastSent + 1
	l.urgent = true
}

// needsSend reports whether the peer must be told something at once.
func (l *link) needsSend() bool {
	return l.urgent || len(l.grants) > 0 || len(l.reports) > 0 || l.sendSnapshot || l.requestFull
}

// acknowledge returns when the acknowledged message was sent and forgets the ones
// before it.
func (l *link) acknowledge(seq uint64) (time.Time, bool) {
	at, ok := l.unackedSentAt[seq]
	for s := range l.unackedSentAt {
		if s <= seq {
			delete(l.unackedSentAt, s)
		}
	}
	return at, ok
}

// oldestUnacked is when the oldest message that is not acknowledged was sent.
func (l *link) oldestUnacked() (time.Time, bool) {
	if len(l.unackedSentAt) == 0 {
		return time.Time{}, false
	}
	first := l.lastSent
	for s := range l.unackedSentAt {
		first = min(first, s)
	}
	return l.unackedSentAt[first], true
}

func (n *Node) linkTo(name string) *link {
	l, ok := n.links[name]
	if !ok {
		l = newLink(name)
		n.links[name] = l
	}
	return l
}

func (n *Node) resetConvergenceAll() {
	for _, l := range n.links {
		l.resetConvergence()
	}
}

func (n *Node) markAllUrgent() {
	for _, l := range n.links {
		l.urgent = true
	}
}
