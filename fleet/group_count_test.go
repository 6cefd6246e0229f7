package fleet

import (
	"testing"

	. "github.com/onsi/gomega"
)

// groupSize is the maximum mean group size in these tests.
const groupSize = 32

// Guards against sessions that change homes repeatedly while upstreams are replaced, when old
// and new ones are listed at the same time.
func TestGroupsStayWhileUpstreamsAreReplaced(t *testing.T) {
	g := NewWithT(t)
	c := newGroupCounts(groupSize)
	g.Expect(c.update("llm", 60)).To(Equal(2))
	changes, last := 0, 2
	for _, listed := range []int{62, 65, 63, 65, 62, 64, 65, 61, 60, 65, 60} {
		if now := c.update("llm", listed); now != last {
			changes, last = changes+1, now
		}
	}
	g.Expect(changes).To(BeNumerically("<=", 1))
}

// Guards against sessions that change homes while upstreams crash and restart.
func TestGroupsStayWhileAThirdIsLost(t *testing.T) {
	g := NewWithT(t)
	c := newGroupCounts(groupSize)
	g.Expect(c.update("llm", 160)).To(Equal(8))
	g.Expect(c.update("llm", 107)).To(Equal(8))
	g.Expect(c.update("llm", 160)).To(Equal(8))
	g.Expect(c.update("llm", 96)).To(Equal(4))
	g.Expect(c.update("llm", 20)).To(Equal(1))
}

// Guards against a new router that divides the upstreams into fewer groups than its peers.
func TestNewRouterTakesItsPeersGroups(t *testing.T) {
	g := NewWithT(t)
	c := newGroupCounts(groupSize)
	g.Expect(c.update("llm", 62)).To(Equal(2))
	for _, wrong := range []int{0, -4, 3, 8, 1 << 30} {
		c.adopt("llm", wrong, 62)
	}
	g.Expect(c.update("llm", 62)).To(Equal(2))
	c.adopt("llm", 4, 62)
	g.Expect(c.update("llm", 62)).To(Equal(4))
	g.Expect(c.update("llm", 48)).To(Equal(2))
}

// Guards against group numbers that decode to another group or number of groups, and invalid
// ones that are accepted.
func TestGroupNumbers(t *testing.T) {
	g := NewWithT(t)
	for _, count := range []int{1, 2, 4, 8} {
		for index := range count {
			n := newGroupNumber(index, count)
			g.Expect(n.count()).To(Equal(count))
			g.Expect(n.index()).To(Equal(index))
		}
	}
	g.Expect(newGroupNumber(3, 2).index()).To(Equal(3))
	for _, wrong := range []groupNumber{-1, 0, 1 << 40} {
		g.Expect(wrong.count()).To(BeZero())
		g.Expect(wrong.index()).To(Equal(-1))
	}
}
