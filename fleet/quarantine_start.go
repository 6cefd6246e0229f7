package fleet

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/aspenswitch/aspenswitch/boottime"
)

// quarantineStart makes the requests of a router that has started wait for what its peers have in
// quarantine. Without it, each router that starts sends a few of them.
type quarantineStart struct {
	// waiting is closed when requests needn't wait any more; nil if they needn't.
	waiting atomic.Pointer[chan struct{}]
	// done is set once the router has the notices of a peer, or the same as one. since is when the
	// first peer had others. Both are owned by the control goroutine.
	done  bool
	since boottime.Time
}

// maxQuarantineWait limits the wait for the notices of a peer: they follow the first heartbeat, and
// other requests shouldn't be late for one that is lost.
const maxQuarantineWait = 500 * time.Millisecond

// AwaitQuarantine implements gateway.Placer.
func (n *Node) AwaitQuarantine(ctx context.Context) {
	waiting := n.quarantine.start.waiting.Load()
	if waiting == nil {
		return
	}
	select {
	case <-*waiting:
	case <-ctx.Done():
	case <-n.done:
	}
}

// compare records the digest of a peer.
func (q *quarantineStart) compare(now boottime.Time, own, peer uint16) {
	switch {
	case q.done:
	case own == peer:
		q.end()
	case q.since == 0:
		q.since = now
		waiting := make(chan struct{})
		q.waiting.Store(&waiting)
	}
}

// end lets requests pass.
func (q *quarantineStart) end() {
	q.done = true
	if waiting := q.waiting.Swap(nil); waiting != nil {
		close(*waiting)
	}
}

// expire lets requests pass if no peer has sent its notices.
func (q *quarantineStart) expire(now boottime.Time) {
	if !q.done && q.since != 0 && now.Sub(q.since) >= maxQuarantineWait {
		q.end()
	}
}
