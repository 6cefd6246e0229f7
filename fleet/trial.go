package fleet

import (
	"context"
	"slices"
	"time"

	"github.com/aspenswitch/aspenswitch/boottime"
	"github.com/aspenswitch/aspenswitch/quarantine"
)

// trialEvent asks the control goroutine whether a request with quarantined keys may be sent as a
// trial.
type trialEvent struct {
	keys   []quarantine.Key
	answer chan bool
}

// trialRequest is a request that may be sent as a trial once the hubs of all keys have granted it.
type trialRequest struct {
	keys []quarantine.Key
	// granted is the number of keys, from the first, for which it was.
	granted int
	answer  chan bool
	// askedAt is when the hub of the next key was asked.
	askedAt boottime.Time
}

// trialAnswerTimeout is how long a request waits for a hub's answer. It is checked at each tick;
// the request is rejected when it expires.
const trialAnswerTimeout = 100 * time.Millisecond

// RequestTrial implements gateway.Placer.
func (n *Node) RequestTrial(ctx context.Context, keys []quarantine.Key) bool {
	answer := make(chan bool, 1)
	// The order is the same at all routers: if each had the trial of another key, none could send.
	keys = slices.SortedFunc(slices.Values(keys), quarantine.Key.Compare)
	n.post(trialEvent{keys: keys, answer: answer})
	select {
	case granted := <-answer:
		return granted
	case <-ctx.Done():
	case <-n.done:
	}
	return false
}

// EndTrial implements gateway.Placer.
func (n *Node) EndTrial(keys []quarantine.Key) {
	n.post(callEvent{do: func(now boottime.Time) { n.endTrial(now, keys) }})
}

// endTrial reports to the hubs of the keys that a trial ends without a result.
func (n *Node) endTrial(now boottime.Time, keys []quarantine.Key) {
	for _, key := range keys {
		if hub := n.hubFor(now, quarantineHubKey(key)); hub != nil {
			n.sendTrialMessage(hub, trialMessage{Team: messageTeam(key), Hash: key.Hash, Granted: true})
		} else {
			n.quarantine.table.EndTrial(time.Duration(now), key)
		}
	}
}

// handleTrial asks the hubs of the keys for a trial, unless none is due for one of them.
func (n *Node) handleTrial(now boottime.Time, e trialEvent) {
	due := true
	for _, key := range e.keys {
		n.quarantine.table.Touch(time.Duration(now), key)
		due = due && n.quarantine.table.TrialDue(time.Duration(now), key)
	}
	if !due {
		e.answer <- false
		return
	}
	n.requestNextTrial(now, &trialRequest{keys: e.keys, answer: e.answer})
}

// requestNextTrial decides on a trial of the next key if this router is its hub, and continues with
// the one after it. Otherwise it asks the hub, unless another request already waits for its answer.
func (n *Node) requestNextTrial(now boottime.Time, r *trialRequest) {
	for ; r.granted < len(r.keys); r.granted++ {
		key := r.keys[r.granted]
		if hub := n.hubFor(now, quarantineHubKey(key)); hub != nil {
			if n.quarantine.pendingTrials[key] != nil {
				n.refuseTrial(now, r)
				return
			}
			r.askedAt = now
			n.quarantine.pendingTrials[key] = r
			n.sendTrialMessage(hub, trialMessage{Team: messageTeam(key), Hash: key.Hash})
			return
		}
		if !n.quarantine.table.GrantTrial(time.Duration(now), key) {
			n.refuseTrial(now, r)
			return
		}
	}
	r.answer <- true
}

// refuseTrial rejects a request, and ends the trials that were granted for its other keys.
func (n *Node) refuseTrial(now boottime.Time, r *trialRequest) {
	n.endTrial(now, r.keys[:r.granted])
	r.answer <- false
}

// handleTrialMessage decides on a trial that a peer asks for, or passes the hub's answer to the
// request that waits for it.
func (n *Node) handleTrialMessage(now boottime.Time, from *member, m *trialMessage) {
	key := newKey(m.Team, m.Hash)
	if m.ends() {
		n.quarantine.table.EndTrial(time.Duration(now), key)
		return
	}
	if !m.Answer {
		granted := n.quarantine.table.GrantTrial(time.Duration(now), key)
		n.sendTrialMessage(from, trialMessage{Team: m.Team, Hash: m.Hash, Answer: true, Granted: granted})
		return
	}
	r := n.quarantine.pendingTrials[key]
	if r == nil {
		if m.Granted {
			n.endTrial(now, []quarantine.Key{key}) // the answer came too late
		}
		return
	}
	delete(n.quarantine.pendingTrials, key)
	if !m.Granted {
		n.refuseTrial(now, r)
		return
	}
	r.granted++
	n.requestNextTrial(now, r)
}

func (n *Node) sendTrialMessage(to *member, m trialMessage) {
	n.send(to.addr, &packet{Infrequent: &infrequent{Quarantine: &quarantineUpdate{Trial: &m}}})
}

// expirePendingTrials rejects the requests that a hub hasn't answered in time.
func (n *Node) expirePendingTrials(now boottime.Time) {
	for key, r := range n.quarantine.pendingTrials {
		if now.Sub(r.askedAt) >= trialAnswerTimeout {
			delete(n.quarantine.pendingTrials, key)
			n.refuseTrial(now, r)
		}
	}
}
