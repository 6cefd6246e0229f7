package fleet

import (
	"strconv"
	"testing"

	. "github.com/onsi/gomega"
)

// sessionsOf returns the group of each of many sessions.
func sessionsOf(weights []int) []int {
	groups := make([]int, 20000)
	for i := range groups {
		groups[i] = weightedGroup("llm"+strconv.Itoa(i), weights)
	}
	return groups
}

// Guards against a small group that gets as many sessions as a large one.
func TestSessionsAreDividedByTheSizeOfGroups(t *testing.T) {
	for _, weights := range [][]int{{19, 20, 25, 26}, {1, 0, 7}, {0, 0, 0, 0}} {
		g := NewWithT(t)
		got, total := make([]float64, len(weights)), 0
		for _, group := range sessionsOf(weights) {
			got[group]++
		}
		for _, w := range weights {
			total += w
		}
		for i, w := range weights {
			want := 1 / float64(len(weights))
			if total > 0 {
				want = float64(w) / float64(total)
			}
			g.Expect(got[i] / 20000).To(BeNumerically("~", want, 0.02))
		}
	}
}

// Guards against sessions that change groups although theirs has lost nothing, when upstreams of another
// one crash.
func TestOnlySessionsOfTheSmallerGroupMove(t *testing.T) {
	g := NewWithT(t)
	before, after := sessionsOf([]int{22, 22, 22, 22}), sessionsOf([]int{22, 11, 22, 22})
	moved := 0
	for i := range before {
		if before[i] != after[i] {
			moved++
			g.Expect(before[i]).To(Equal(1))
		}
	}
	// A half of a quarter, less the part that the smaller group keeps of the whole.
	g.Expect(float64(moved) / float64(len(before))).To(BeNumerically("<", 0.125))
}
