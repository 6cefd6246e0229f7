package fleet

import (
	"strconv"
	"time"

	"github.com/aspenswitch/aspenswitch/boottime"
)

// brokenKey is the key by which the hub of a broken upstream is chosen.
func brokenKey(upstream uint32) string { return "broken/" + strconv.FormatUint(uint64(upstream), 16) }

// sentToBrokenUpstream reports whether the request was sent after its upstream was recorded as
// broken. The proxy of an upstream that has ended accepts connections and closes them; without
// this check, each request sent there would count as a crash of its content.
func (q *quarantineState) sentToBrokenUpstream(sent time.Duration, upstream uint32) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.broken.BrokenBefore(sent, upstream)
}

// reportBroken records a broken upstream and, if it is new, reports it to its hub, which
// announces it to all routers.
func (n *Node) reportBroken(now boottime.Time, upstream uint32) {
	if !n.quarantine.recordBroken(now, upstream) {
		return
	}
	hub := n.hubFor(now, brokenKey(upstream))
	if hub == nil {
		n.announceBroken(upstream)
		return
	}
	n.sendBroken(hub, upstream, false)
}

// handleBroken records a broken upstream that a peer has sent. If it is a report to this router
// as the hub, and new, it is announced to all routers.
func (n *Node) handleBroken(now boottime.Time, upstream uint32, announced bool) {
	if n.quarantine.recordBroken(now, upstream) && !announced {
		n.announceBroken(upstream)
	}
}

// recordBroken records a broken upstream. It returns false if the upstream was already recorded.
func (q *quarantineState) recordBroken(now boottime.Time, upstream uint32) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.broken.Record(time.Duration(now), upstream)
}

func (n *Node) announceBroken(upstream uint32) {
	for _, m := range n.members {
		n.sendBroken(m, upstream, true)
	}
}

func (n *Node) sendBroken(to *member, upstream uint32, announced bool) {
	n.send(to.addr, &packet{Infrequent: &infrequent{Broken: &brokenNotice{Upstream: upstream, Announced: announced}}})
}
