package limits_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/aspenswitch/aspenswitch/limits"
)

// An engine begins to queue by itself, where order is not ours. The limit falls to
// what it admits, and comes back one by one when the queue is gone.
func TestLimitFollowsTheEnginesQueue(t *testing.T) {
	g := NewWithT(t)
	a := limits.NewAdaptiveLimit(10)
	a.Observe(limits.Load{Running: 6, Queued: 3})
	g.Expect(a.Limit()).To(Equal(6))
	for range 20 {
		a.Observe(limits.Load{Running: 1, Queued: 1})
	}
	g.Expect(a.Limit()).To(Equal(1), "never 0: an upstream that gets nothing can't recover")
	for range 20 {
		a.Observe(limits.Load{Running: 3})
	}
	g.Expect(a.Limit()).To(Equal(10))
}

// One side of a cut fleet sees three of seven VMs. It keeps to its share while the
// other side uses the upstream, and takes all that the other leaves.
func TestShareOfACutFleet(t *testing.T) {
	g := NewWithT(t)
	a := limits.NewAdaptiveLimit(7)
	g.Expect(a.PartitionShare(3, 7, 7)).To(Equal(3))
	g.Expect(a.PartitionShare(3, 7, 2)).To(Equal(5))
	g.Expect(a.PartitionShare(7, 7, 5)).To(Equal(7))
}
