package fleet

import (
	"context"
	"time"

	"github.com/aspenswitch/aspenswitch/boottime"
	"github.com/aspenswitch/aspenswitch/quarantine"
)

// trialEvent asks the control goroutine whether a request with a quarantined content may be
// sent as a trial.
type trialEvent struct {
	id     quarantine.Key
	answer chan bool
}

// pendingTrial is a request that waits for the hub's answer.
type pendingTrial struct {
	answer chan bool
	since  boottime.Time
}

// trialAnswerTimeout is how long a request waits for the hub's answer. It is checked at each
// tick; the request is rejected when it expires.
const trialAnswerTimeout = 100 * time.Millisecond

// RequestTrial implements gateway.Placer.
func (n *Node) RequestTrial(ctx context.Context, id quarantine.Key) bool {
	answer := make(chan bool, 1)
	n.post(trialEvent{id: id, answer: answer})
	select {
	case granted := <-answer:
		return granted
	case <-ctx.Done():
	case <-n.done:
	}
	return false
}

// handleTrial decides on a trial if this router is the hub of the content. Otherwise it asks
// the hub, unless no trial is due or another request already waits for the hub's answer.
func (n *Node) handleTrial(now boottime.Time, e trialEvent) {
	hub := n.hubFor(now, quarantineKey(e.id))
	if hub == nil {
		e.answer <- n.quarantine.table.GrantTrial(time.Duration(now), e.id)
		return
	}
	if n.quarantine.pendingTrials[e.id] != nil || !n.quarantine.table.TrialDue(time.Duration(now), e.id) {
		e.answer <- false
		return
	}
	n.quarantine.pendingTrials[e.id] = &pendingTrial{answer: e.answer, since: now}
	n.sendTrialMessage(hub, trialMessage{Team: e.id.Team, Hash: e.id.Hash})
}

// handleTrialMessage decides on a trial that a peer asks for, or passes the hub's answer to the
// request that waits for it.
func (n *Node) handleTrialMessage(now boottime.Time, from *member, m *trialMessage) {
	id := quarantine.Key{Team: m.Team, Hash: m.Hash}
	if !m.Answer {
		granted := n.quarantine.table.GrantTrial(time.Duration(now), id)
		n.sendTrialMessage(from, trialMessage{Team: m.Team, Hash: m.Hash, Answer: true, Granted: granted})
		return
	}
	if p := n.quarantine.pendingTrials[id]; p != nil {
		delete(n.quarantine.pendingTrials, id)
		p.answer <- m.Granted
	}
}

func (n *Node) sendTrialMessage(to *member, m trialMessage) {
	n.send(to.addr, &packet{Infrequent: &infrequent{Quarantine: &quarantineUpdate{Trial: &m}}})
}

// expirePendingTrials rejects the requests that the hub hasn't answered in time.
func (n *Node) expirePendingTrials(now boottime.Time) {
	for id, p := range n.quarantine.pendingTrials {
		if now.Sub(p.since) >= trialAnswerTimeout {
			delete(n.quarantine.pendingTrials, id)
			p.answer <- false
		}
	}
}
