package fleet

import (
	"time"

	"github.com/aspenswitch/aspenswitch/boottime"
)

// marks are heartbeats that a router sends to itself, to know how far it is behind with
// reading what its peers send. The socket is first in, first out: once a mark is read, all
// that had come before it has been read too.
type marks struct {
	// sentAt is when the newest mark was sent, readTo when the newest one that was read
	// was sent; 0 if none was.
	sentAt, readTo boottime.Time
}

// markEvery is the least time between two marks.
const markEvery = 20 * time.Millisecond

// sendMark sends a mark unless one is on its way that is young enough.
func (n *Node) sendMark(now boottime.Time) {
	if n.marks.sentAt != 0 && now.Sub(n.marks.sentAt) < markEvery {
		return
	}
	at, ok := n.addrOf(n.cfg.IP)
	if !ok {
		return
	}
	n.marks.sentAt = now
	n.unreadSince.CompareAndSwap(0, int64(now))
	n.send(at, &packet{Beat: &beat{Sent: int64(now)}})
}

// readMark takes in a mark of this router.
func (n *Node) readMark(now boottime.Time, m *beat) {
	n.marks.readTo = max(n.marks.readTo, boottime.Time(m.Sent))
	n.readLag.Store(int64(now.Sub(boottime.Time(m.Sent))))
	if n.marks.readTo == n.marks.sentAt {
		n.unreadSince.Store(0)
		return
	}
	n.unreadSince.Store(int64(n.marks.sentAt))
}

// ReadLag implements gateway.Placer: how long the newest mark that was read had waited, or
// how long one has waited that wasn't. It is zero until a mark was sent.
func (n *Node) ReadLag() time.Duration {
	lag := time.Duration(n.readLag.Load())
	if since := boottime.Time(n.unreadSince.Load()); since != 0 {
		lag = max(lag, n.now().Sub(since))
	}
	return lag
}

// viewAge is the age of the published state from which on a router must know whether it
// is late itself.
const viewAge = time.Second

// markOldView sends marks while the published state isn't renewed.
func (n *Node) markOldView(now boottime.Time) {
	if n.feed != nil && n.feed.Age() > viewAge {
		n.sendMark(now)
	}
}

// MarkRead sends a mark, so that ReadLag is renewed.
func (n *Node) MeasureReadLag() { n.post(inspectEvent{do: n.sendMark}) }
