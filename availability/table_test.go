package availability_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/aspenswitch/aspenswitch/availability"
	"github.com/aspenswitch/aspenswitch/dispatch"
)

const start = time.Hour

// Guards against excluding a restarted upstream because of a notice from its previous incarnation.
func TestLeavingAppliesToOneIncarnation(t *testing.T) {
	g := NewWithT(t)
	table := availability.NewTable()
	first, second := dispatch.Incarnation{ID: "u", Started: 1000}, dispatch.Incarnation{ID: "u", Started: 500}
	g.Expect(table.RecordLeaving(start, first)).To(BeTrue())
	g.Expect(table.RecordLeaving(start, first)).To(BeFalse())
	g.Expect(table.Leaving(start, first)).To(BeTrue())
	g.Expect(table.Leaving(start, dispatch.Incarnation{ID: "u"})).To(BeTrue(), "an unknown start matches any incarnation")
	g.Expect(table.Leaving(start, second)).To(BeFalse())
	g.Expect(table.RecordLeaving(start, second)).To(BeTrue())
	g.Expect(table.Leaving(start, first)).To(BeFalse())
	g.Expect(table.Leaving(start+availability.LeavingTTL, second)).To(BeFalse())
}

// Guards against delays that end early, end late or apply to a later incarnation.
func TestRetryAfterLastsAsLongAsRequested(t *testing.T) {
	g := NewWithT(t)
	table := availability.NewTable()
	first, second := dispatch.Incarnation{ID: "u", Started: 1000}, dispatch.Incarnation{ID: "u", Started: 2000}
	g.Expect(table.RetryAfter(start, first)).To(BeZero())
	table.RecordRetryAfter(start, first, 3*time.Second)
	table.RecordRetryAfter(start+time.Second, first, time.Second)
	g.Expect(table.RetryAfter(start+time.Second, first)).To(Equal(2 * time.Second))
	g.Expect(table.Unavailable(start + time.Second)).To(Equal([]availability.Unavailable{{Upstream: first, RetryAfter: 2 * time.Second}}))
	g.Expect(table.RetryAfter(start+time.Second, second)).To(BeZero())
	g.Expect(table.RetryAfter(start+3*time.Second, first)).To(BeZero())
	g.Expect(table.Unavailable(start + 3*time.Second)).To(BeEmpty())
	table.RecordLeaving(start, first)
	g.Expect(table.Unavailable(start)).To(Equal([]availability.Unavailable{{Upstream: first}}))
}
