package sched

import (
	"time"

	"github.com/aspenswitch/aspenswitch/fairness"
)

// link is the state that a node keeps for one peer.
type link struct {
	name string
	// lastSent and lastReceived are the last sequence numbers sent and received.
	lastSent, lastReceived uint64
	// incarnation is the peer's incarnation as of lastReceived.
	incarnation uint64
	receivedAt  time.Time
	sentAt      time.Time
	// leaseUntil is the end of every lease granted by the peer.
	leaseUntil time.Time

	redialedAt time.Time
	// liveHash is the last LiveHash of the peer. converged is set once the peer
	// has acknowledged a message sent since this router's own live routers
	// changed (sequence number changeSeq or later) and has the same live
	// routers.
	liveHash  uint32
	converged bool
	changeSeq uint64
	ackSentAt time.Time
	// unackedSentAt holds the send time of each unacknowledged message, by
	// sequence number.
	unackedSentAt map[uint64]time.Time
	// grants and reports are the upstreams whose lease counters must be sent to
	// the peer.
	grants, reports map[int]bool
	// pendingEntries holds, by pool, the accounts that must be sent to the peer.
	pendingEntries map[int][]fairness.Entry
	// urgent sends the next message without waiting for the heartbeat.
	urgent bool
	// sendFull sends every account: the peer is new or missed a message.
	sendFull bool
	// requestFull requests the full state from the peer.
	requestFull bool
	// sendSnapshot sends the snapshot that the peer needs to join.
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

// reset discards the state of the peer's earlier incarnation.
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

// clearPending clears everything that the message being sent contains.
func (l *link) clearPending() {
	l.urgent, l.sendFull, l.requestFull, l.sendSnapshot = false, false, false, false
	clear(l.grants)
	clear(l.reports)
	clear(l.pendingEntries)
}

// addEntries adds accounts to send to the peer; they replace older entries of
// the same teams.
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

// resetConvergence waits anew for the peer to confirm the live routers after
// they changed.
func (l *link) resetConvergence() {
	l.converged = false
	l.changeSeq = l.lastSent + 1
	l.urgent = true
}

// needsSend reports whether a message must be sent to the peer at once.
func (l *link) needsSend() bool {
	return l.urgent || len(l.grants) > 0 || len(l.reports) > 0 || l.sendSnapshot || l.requestFull
}

// acknowledge returns the send time of the acknowledged message, and discards it
// and the earlier ones.
func (l *link) acknowledge(seq uint64) (time.Time, bool) {
	sentAt, ok := l.unackedSentAt[seq]
	for s := range l.unackedSentAt {
		if s <= seq {
			delete(l.unackedSentAt, s)
		}
	}
	return sentAt, ok
}

// oldestUnacked returns the send time of the oldest unacknowledged message, and
// false if there is none.
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
