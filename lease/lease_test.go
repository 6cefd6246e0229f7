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

// granted returns a table that has granted all its slots to one holder.
func granted(slots int) (*lease.Table, *lease.Holder) {
	table := lease.NewTable(1, slots, 0, start)
	h := lease.NewHolder(1)
	h.SetHome("home", 1)
	h.ApplyGrant(table.Grant("vm1", 1, slots, start.Add(ttl)))
	h.Extend(start.Add(ttl))
	return table, h
}

// A holder is paused past the end of its lease and the home frees its slots. The
// resumed holder must have no idle slot, whatever it held before.
func TestPausedHolderFindsItsLeaseEnded(t *testing.T) {
	g := NewWithT(t)
	table, h := granted(4)
	g.Expect(h.Idle(start)).To(Equal(4))
	g.Expect(h.Idle(start.Add(ttl))).To(BeZero())
	table.Expire(start.Add(ttl + time.Millisecond))
	g.Expect(table.Free(start.Add(ttl + time.Millisecond))).To(Equal(4))
}

// A new home must not grant slots that a partitioned holder could still use
// until that holder's lease must have ended. Slots claimed by live holders stay
// granted.
func TestNewHomeWaitsOutOldLeases(t *testing.T) {
	g := NewWithT(t)
	table := lease.NewTable(1, 4, 7, start.Add(ttl))
	grant, answered := table.ApplyReport("vm1", 1, lease.Report{Upstream: 1, Claim: 2}, start.Add(ttl))
	g.Expect(answered).To(BeTrue())
	g.Expect(grant.Term).To(BeNumerically(">", 7))
	g.Expect(table.Free(start)).To(BeZero())
	g.Expect(table.Free(start.Add(ttl))).To(Equal(2))
}

// The limit is lowered while slots are in use. No request must be interrupted:
// slots are returned as their requests end.
func TestRecallWaitsForRequestsToEnd(t *testing.T) {
	g := NewWithT(t)
	table, h := granted(4)
	h.Acquire()
	h.Acquire()
	h.Acquire()
	table.SetLimit(2)
	g.Expect(table.Recall()).To(ConsistOf("vm1"))
	grant, _ := table.CurrentGrant("vm1", 1)
	h.ApplyGrant(grant)
	g.Expect(h.Recalled()).To(Equal(2))
	g.Expect(h.Return(1)).To(BeTrue())
	g.Expect(h.Return(1)).To(BeFalse(), "in use")
	h.Release()
	g.Expect(h.Return(1)).To(BeTrue())
	r, _ := h.Report()
	table.ApplyReport("vm1", 1, r, start.Add(ttl))
	g.Expect(table.Granted()).To(Equal(2))
}

// Grants and reports are lost, duplicated and reordered at random. The holder
// must never have more slots than the home counts as granted, and after a final
// exchange both must agree: no slot is created or lost.
func TestCountersSurviveAnyNetwork(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const slots = 6
		table := lease.NewTable(1, slots, 0, start)
		h := lease.NewHolder(1)
		h.SetHome("home", 1)
		h.Extend(start.Add(time.Hour))
		var grants []lease.Grant
		var reports []lease.Report
		expiry := start.Add(time.Hour)
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				if table.Free(start) > 0 {
					grants = append(grants, table.Grant("vm1", 1, 1, expiry))
				}
			case 1:
				if len(grants) > 0 {
					h.ApplyGrant(rapid.SampledFrom(grants).Draw(t, "grant"))
					h.Extend(expiry)
				}
			case 2:
				if h.Idle(start) > 0 && h.Return(1) {
					r, _ := h.Report()
					reports = append(reports, r)
				}
			case 3:
				if len(reports) > 0 {
					table.ApplyReport("vm1", 1, rapid.SampledFrom(reports).Draw(t, "report"), expiry)
				}
			case 4:
				if h.Idle(start) > 0 {
					h.Acquire()
				} else if h.InUse() > 0 {
					h.Release()
				}
			}
			if h.Held() > table.Granted() || table.Granted() > slots || h.InUse() > h.Held() {
				t.Fatalf("held %d, in use %d, granted %d of %d", h.Held(), h.InUse(), table.Granted(), slots)
			}
		}
		if grant, ok := table.CurrentGrant("vm1", 1); ok {
			h.ApplyGrant(grant)
		}
		if r, ok := h.Report(); ok {
			table.ApplyReport("vm1", 1, r, expiry)
		}
		if h.Held() != table.Granted() {
			t.Fatalf("held %d, granted %d after the final exchange", h.Held(), table.Granted())
		}
	})
}
