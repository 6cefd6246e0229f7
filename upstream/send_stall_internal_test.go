package upstream

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a peer that has died behind a closed window and is noticed late, and against ending the
// connection of one that only reads late.
func TestSendStall(t *testing.T) {
	const base, died = 1500 * time.Millisecond, 6 * time.Second
	g := NewWithT(t)
	var s sendStall
	timeout := base
	// The peer acknowledges some data until 1 s, then closes its window, and probes until it dies.
	lastAck := func(now time.Duration) time.Duration {
		if now > died {
			return died
		}
		return now - now%(400*time.Millisecond)
	}
	for now := time.Duration(0); now < 20*time.Second; now += windowCheckInterval {
		const closedAt = time.Second
		state := sendState{waiting: true, acked: uint64(min(now, closedAt) / time.Millisecond), sinceAck: now - lastAck(now)}
		if next := s.userTimeout(now, state, base); next > 0 {
			timeout = next
		}
		stalled := now - closedAt
		switch {
		case now <= closedAt:
			g.Expect(timeout).To(Equal(base))
		case now <= died:
			g.Expect(timeout).To(BeNumerically(">", stalled+windowCheckInterval), "at %v", now)
			g.Expect(timeout).To(BeNumerically("<=", max(base, stalled+2*probeInterval(base))), "the kernel probes again soon")
		case stalled > timeout:
			g.Expect(now-died).To(BeNumerically("<=", base+2*windowCheckInterval), "noticed")
			return
		}
	}
	t.Fatal("the dead peer wasn't noticed")
}

// Guards against a timeout that stays long once the window has opened again.
func TestSendStallEndsWithProgress(t *testing.T) {
	const base = 1500 * time.Millisecond
	g := NewWithT(t)
	var s sendStall
	g.Expect(s.userTimeout(0, sendState{waiting: true, acked: 5}, base)).To(Equal(base))
	g.Expect(s.userTimeout(4*time.Second, sendState{waiting: true, acked: 5}, base)).To(Equal(4500 * time.Millisecond))
	g.Expect(s.userTimeout(5*time.Second, sendState{waiting: true, acked: 6}, base)).To(Equal(base))
	g.Expect(s.userTimeout(9*time.Second, sendState{acked: 6}, base)).To(Equal(base), "nothing waits")
}
