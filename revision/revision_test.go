package revision_test

import (
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/aspenswitch/aspenswitch/revision"
)

// Guards against a state of a later epoch that counts as older because its counter is lower.
func TestRevisionsAreOrderedByEpochThenCounter(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		draw := func(name string) (epoch, counter, both int64) {
			epoch, counter = rapid.Int64Range(0, 1000).Draw(rt, name+" epoch"), rapid.Int64Range(0, 1<<40-1).Draw(rt, name+" counter")
			both, err := revision.New(epoch, counter)
			if err != nil || revision.Epoch(both) != epoch || revision.Counter(both) != counter {
				rt.Fatalf("%d, %d: %v", epoch, counter, err)
			}
			return epoch, counter, both
		}
		e1, c1, a := draw("first")
		e2, c2, b := draw("second")
		if (a < b) != (e1 < e2 || e1 == e2 && c1 < c2) {
			rt.Fatalf("%d/%d and %d/%d", e1, c1, e2, c2)
		}
	})
}

func TestRevisionOutOfRangeIsAnError(t *testing.T) {
	g := NewWithT(t)
	for _, r := range [][2]int64{{-1, 0}, {0, -1}, {0, 1 << 40}, {1 << 22, 0}} {
		_, err := revision.New(r[0], r[1])
		g.Expect(err).To(MatchError(ContainSubstring("out of range")))
	}
}
