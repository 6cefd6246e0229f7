package fleet

import (
	"maps"
	"slices"
	"time"

	"github.com/aspenswitch/aspenswitch/boottime"
	"github.com/aspenswitch/aspenswitch/dispatch"
	"github.com/aspenswitch/aspenswitch/quarantine"
)

// unconfirmedEnd is a stream that ended with its connection before its answer had started: complete by
// its framing, but also what an upstream leaves that closes the connection before its process ends.
type unconfirmedEnd struct {
	crash   crashEvent
	endedAt boottime.Time
}

// unconfirmedEndEvent reports an unconfirmedEnd to the control goroutine.
type unconfirmedEndEvent struct{ crash crashEvent }

const (
	// endConfirmTime is the time after the end of a stream from which an answer of its upstream shows that
	// its process is still running: one that is ending may answer for another 0.1 s.
	endConfirmTime = 300 * time.Millisecond
	// maxEndWait is how long an end waits for what its upstream does next. It then counts as neither.
	maxEndWait = quarantine.BrokenTTL
	// maxUnconfirmedEnds limits the ends that wait. Further ones count as neither.
	maxUnconfirmedEnds = 1024
)

// ReportUnconfirmedEnd implements gateway.Placer.
func (n *Node) ReportUnconfirmedEnd(request quarantine.Interruption, at dispatch.Incarnation, ran time.Duration) {
	n.post(unconfirmedEndEvent{crash: crashEvent{request: request, upstream: incarnationHash(at), sent: time.Duration(n.now().Add(-ran))}})
}

func (n *Node) handleUnconfirmedEnd(now boottime.Time, e unconfirmedEndEvent) {
	q := &n.quarantine
	end := unconfirmedEnd{crash: e.crash, endedAt: now}
	if len(q.ends) == maxUnconfirmedEnds {
		n.dropEnd(now, end)
		return
	}
	q.ends = append(q.ends, end)
	q.mu.Lock()
	defer q.mu.Unlock()
	if _, awaited := q.answeredAt[e.crash.upstream]; !awaited {
		q.answeredAt[e.crash.upstream] = 0
	}
}

// decideEnds decides the ends whose upstream has interrupted or answered another request since. The first
// counts as a crash, the second as a success of the stream's request.
func (n *Node) decideEnds(now boottime.Time) {
	if len(n.quarantine.ends) == 0 {
		return
	}
	n.quarantine.ends = slices.DeleteFunc(n.quarantine.ends, func(end unconfirmedEnd) bool {
		broken, answeredAt := n.quarantine.sinceEnd(now, end.crash.upstream)
		switch {
		case broken:
			n.handleCrash(now, end.crash)
		case answeredAt >= end.endedAt.Add(endConfirmTime):
			n.confirmEnd(now, end)
		case now.Sub(end.endedAt) >= maxEndWait:
			n.dropEnd(now, end)
		default:
			return false
		}
		return true
	})
	n.quarantine.awaitAnswers()
}

// dropEnd counts an end as neither. A trial has failed: its keys are in quarantine, and the next request
// with them might crash another upstream.
func (n *Node) dropEnd(now boottime.Time, end unconfirmedEnd) {
	n.reportCrash(now, end.crash, end.crash.request.TrialOf)
}

// confirmEnd counts an end as a success.
func (n *Node) confirmEnd(now boottime.Time, end unconfirmedEnd) {
	n.quarantine.addKeys(time.Duration(now), end.crash.request.Keys)
	for _, key := range end.crash.request.Keys {
		if !n.quarantine.table.View().HasCrashes(key) {
			continue
		}
		reason := successReason
		if key.Part {
			reason = startedReason
		}
		n.clearSuspicion(now, successEvent{key: key, reason: reason})
	}
}

// sinceEnd reports whether an upstream has interrupted requests and hasn't answered since, and when it
// last answered.
func (q *quarantineState) sinceEnd(now boottime.Time, upstream uint32) (broken bool, answeredAt boottime.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.broken.BrokenBefore(time.Duration(now), upstream), q.answeredAt[upstream]
}

// awaitAnswers drops the times of the upstreams of which no end waits.
func (q *quarantineState) awaitAnswers() {
	awaited := map[uint32]bool{}
	for _, end := range q.ends {
		awaited[end.crash.upstream] = true
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	maps.DeleteFunc(q.answeredAt, func(upstream uint32, _ boottime.Time) bool { return !awaited[upstream] })
}

// recordAnswer records that an upstream has answered a request. The caller holds q.mu.
func (q *quarantineState) recordAnswer(now time.Duration, upstream uint32) {
	q.broken.RecordSuccess(upstream)
	if _, awaited := q.answeredAt[upstream]; awaited {
		q.answeredAt[upstream] = boottime.Time(now)
	}
}

// addKeys records that keys are harmless.
func (q *quarantineState) addKeys(now time.Duration, keys []quarantine.Key) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, key := range keys {
		if key.Part {
			q.started.Add(now, key)
		} else {
			q.successes.Add(now, key)
		}
	}
}
