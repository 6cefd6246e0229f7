package fleet

import (
	"testing"

	. "github.com/onsi/gomega"
)

// groupSize is that of the tests.
const groupSize = 32

// The engines of a fleet are replaced one after the other, and replaced ones are listed for
// a second beside their successors: 62 to 65 of them. With a bound of 64 for two groups the
// number went from two to four and back within two seconds, and with it the homes of most
// sessions, twice (lines home and cached of a day of 60 engines).
func TestGroupsStayWhileUpstreamsAreReplaced(t *testing.T) {
	g := NewWithT(t)
	c := newGroupCounts(groupSize)
	g.Expect(c.of("llm", 60)).To(Equal(2))
	changes, last := 0, 2
	for _, listed := range []int{62, 65, 63, 65, 62, 64, 65, 61, 60, 65, 60} {
		if now := c.of("llm", listed); now != last {
			changes, last = changes+1, now
		}
	}
	g.Expect(changes).To(BeNumerically("<=", 1))
}

// A third of the engines crash and are back seconds later. The groups stay; they shrink for
// good only where far fewer engines are left.
func TestGroupsStayWhileAThirdIsLost(t *testing.T) {
	g := NewWithT(t)
	c := newGroupCounts(groupSize)
	g.Expect(c.of("llm", 160)).To(Equal(8))
	g.Expect(c.of("llm", 107)).To(Equal(8))
	g.Expect(c.of("llm", 160)).To(Equal(8))
	g.Expect(c.of("llm", 96)).To(Equal(4))
	g.Expect(c.of("llm", 20)).To(Equal(1))
}

// A router that starts while its peers have four groups and 62 upstreams takes theirs over
// with the first word of one: else it would send sessions to other homes. What can't be a
// number of groups changes nothing.
func TestNewRouterTakesItsPeersGroups(t *testing.T) {
	g := NewWithT(t)
	c := newGroupCounts(groupSize)
	g.Expect(c.of("llm", 62)).To(Equal(2))
	for _, wrong := range []int{0, -4, 3, 8, 1 << 30} {
		c.told("llm", wrong, 62)
	}
	g.Expect(c.of("llm", 62)).To(Equal(2))
	c.told("llm", 4, 62)
	g.Expect(c.of("llm", 62)).To(Equal(4))
	g.Expect(c.of("llm", 48)).To(Equal(2))
}

// A number on the wire tells the group and the division; what is none tells nothing.
func TestGroupNumbers(t *testing.T) {
	g := NewWithT(t)
	for _, count := range []int{1, 2, 4, 8} {
		for index := range count {
			n := numberOf(index, count)
			g.Expect(n.count()).To(Equal(count))
			g.Expect(n.index()).To(Equal(index))
		}
	}
	g.Expect(numberOf(3, 2).index()).To(Equal(3))
	for _, wrong := range []groupNumber{-1, 0, 1 << 40} {
		g.Expect(wrong.count()).To(BeZero())
		g.Expect(wrong.index()).To(Equal(-1))
	}
}
