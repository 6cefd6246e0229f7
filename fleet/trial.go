package fleet

import (
	"context"
	"time"

	"github.com/aspenswitch/aspenswitch/boottime"
	"github.com/aspenswitch/aspenswitch/quarantine"
)

// trialEvent asks the control goroutine whether a request with a quarantined key may be sent as
// a trial.
type trialEvent struct {
	key    quarantine.Key
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
func (n *Node) RequestTrial(ctx context.Context, key quarantine.Key) bool {
	answer := make(chan bool, 1)
	n.post(trialEvent{key: key, answer: answer})
	select {
	case granted := <-answer:
		return granted
	case <-ctx.Done():
	case <-n.done:
	}
	return false
}

// handleTrial decides on a trial if this router is the hub of the key. Otherwise it asks
// the hub, unless no trial is due or another request already waits for the hub's answer.
func (n *Node) handleTrial(now boottime.Time, e trialEvent) {
	n.quarantine.table.Touch(time.Duration(now), e.key)
	hub := n.hubFor(now, quarantineHubKey(e.key))
	if hub == nil {
		e.answer <- n.quarantine.table.GrantTrial(time.Duration(now), e.key)
		return
	}
	if n.quarantine.pendingTrials[e.key] != nil || !n.quarantine.table.TrialDue(time.Duration(now), e.key) {
		e.answer <- false
		return
	}
	n.quarantine.pendingTrials[e.key] = &pendingTrial{answer: e.answer, since: now}
	n.sendTrialMessage(hub, trialMessage{Team: messageTeam(e.key), Hash: e.key.Hash})
}

// handleTrialMessage decides on a trial that a peer asks for, or passes the hub's answer to the
// request that waits for it.
func (n *Node) handleTrialMessage(now boottime.Time, from *member, m *trialMessage) {
	key := newKey(m.Team, m.Hash)
	if !m.Answer {
		granted := n.quarantine.table.GrantTrial(time.Duration(now), key)
		n.sendTrialMessage(from, trialMessage{Team: m.Team, Hash: m.Hash, Answer: true, Granted: granted})
		return
	}
	if p := n.quarantine.pendingTrials[key]; p != nil {
		delete(n.quarantine.pendingTrials, key)
		p.answer <- m.Granted
	}
}

func (n *Node) sendTrialMessage(to *member, m trialMessage) {
	n.send(to.addr, &packet{Infrequent: &infrequent{Quarantine: &quarantineUpdate{Trial: &m}}})
}

// expirePendingTrials rejects the requests that the hub hasn't answered in time.
func (n *Node) expirePendingTrials(now boottime.Time) {
	for key, p := range n.quarantine.pendingTrials {
		if now.Sub(p.since) >= trialAnswerTimeout {
			delete(n.quarantine.pendingTrials, key)
			p.answer <- false
		}
	}
}
