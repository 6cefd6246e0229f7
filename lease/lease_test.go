package lease_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/aspenswitch/aspenswitch/lease"
)

var start = time.Unix(1_700_000_000, 0)

const ttl = 3 * time.Second

// granted is a book that has just granted all its slots to one holder.
func granted(slots int) (*lease.Table, *lease.Holder) {
	b := lease.NewTable(1, slots, 0, start)
	h := lease.NewHolder(1)
	h.SetHome("home", 1)
	h.ApplyGrant(b.Grant("vm1", 1, slots, start.Add(ttl)))
	h.Extend(start.Add(ttl))
	return b, h
}

// A holder pauses past the end of its lease. The home gives its slots away; the
// holder, woken, must find none idle, whatever it held.
func TestPausedHolderFindsItsLeaseEnded(t *testing.T) {
	g := NewWithT(t)
	b, h := granted(4)
	g.Expect(h.Idle(start)).To(Equal(4))
	g.Expect(h.Idle(start.Add(ttl))).To(BeZero())
	b.Expire(start.Add(ttl + time.Millisecond))
	g.Expect(b.Free(start.Add(ttl + time.Millisecond))).To(Equal(4))
}

// A home comes new to an upstream. Slots that a cut-off holder could still use
// are closed until its lease must have ended; those that live holders claim go on.
func TestNewHomeWaitsOutOldLeases(t *testing.T) {
	g := NewWithT(t)
	b := lease.NewTable(1, 4, 7, start.Add(ttl))
	grant, answered := b.ApplyReport("vm1", 1, lease.Report{Upstream: 1, Claim: 2}, start.Add(ttl))
	g.Expect(answered).To(BeTrue())
	g.Expect(grant.Term).To(BeNumerically(">", 7))
	g.Expect(b.Free(start)).To(BeZero())
	g.Expect(b.Free(start.Add(ttl))).To(Equal(2))
}

// A limit falls while slots are in use. Nothing is cut: the slots come back as
// their requests end.
func TestRecallWaitsForRequestsToEnd(t *testing.T) {
	g := NewWithT(t)
	b, h := granted(4)
	h.Acquire()
	h.Acquire()
	h.Acquire()
	b.SetLimit(2)
	g.Expect(b.Recall()).To(ConsistOf("vm1"))
	word, _ := b.CurrentGrant("vm1", 1)
	h.ApplyGrant(word)
	g.Expect(h.Recalled()).To(Equal(2))
	g.Expect(h.Return(1)).To(BeTrue())
	g.Expect(h.Return(1)).To(BeFalse(), "in use")
	h.Release()
	g.Expect(h.Return(1)).To(BeTrue())
	r, _ := h.Report()
	b.ApplyReport("vm1", 1, r, start.Add(ttl))
	g.Expect(b.Granted()).To(Equal(2))
}

// Grants and returns are lost, doubled and reordered at random. The holder never
// has more than the home believes granted, and once the last words arrive both
// agree: no slot is made, none is lost.
func TestCountersSurviveAnyNetwork(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const slots = 6
		b := lease.NewTable(1, slots, 0, start)
		h := lease.NewHolder(1)
		h.SetHome("home", 1)
		h.Extend(start.Add(time.Hour))
		var down []lease.Grant
		var up []lease.Report
		until := start.Add(time.Hour)
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				if b.Free(start) > 0 {
					down = append(down, b.Grant("vm1", 1, 1, until))
				}
			case 1:
				if len(down) > 0 {
					h.ApplyGrant(rapid.SampledFrom(down).Draw(t, "grant"))
					h.Extend(until)
				}
			case 2:
				if h.Idle(start) > 0 && h.Return(1) {
					r, _ := h.Report()
					up = append(up, r)
				}
			case 3:
				if len(up) > 0 {
					b.ApplyReport("vm1", 1, rapid.SampledFrom(up).Draw(t, "report"), until)
				}
			case 4:
				if h.Idle(start) > 0 {
					h.Acquire()
				} else if h.InUse() > 0 {
					h.Release()
				}
			}
			if h.Held() > b.Granted() || b.Granted() > slots || h.InUse() > h.Held() {
				t.Fatalf("held %d, in use %d, granted %d of %d", h.Held(), h.InUse(), b.Granted(), slots)
			}
		}
		if word, ok := b.CurrentGrant("vm1", 1); ok {
			h.ApplyGrant(word)
		}
		if r, ok := h.Report(); ok {
			b.ApplyReport("vm1", 1, r, until)
		}
		if h.Held() != b.Granted() {
			t.Fatalf("held %d, granted %d after the last words", h.Held(), b.Granted())
		}
	})
}
