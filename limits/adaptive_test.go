package limits_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/aspenswitch/aspenswitch/limits"
)

// Guards against requests in the engine's own queue, which the scheduler can't order. The limit
// must drop to what the engine admits, and grow by one per report once the queue is empty.
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

// Guards against one side of a network partition using too many or too few slots. It sees three
// of seven VMs, and may exceed its share only by the slots that the other side leaves free.
func TestShareOfAPartitionedFleet(t *testing.T) {
	g := NewWithT(t)
	a := limits.NewAdaptiveLimit(7)
	g.Expect(a.PartitionShare(3, 7, 7)).To(Equal(3))
	g.Expect(a.PartitionShare(3, 7, 2)).To(Equal(5))
	g.Expect(a.PartitionShare(7, 7, 5)).To(Equal(7))
}
