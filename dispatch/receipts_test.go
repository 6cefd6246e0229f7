package dispatch_test

import (
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/aspenswitch/aspenswitch/dispatch"
)

// A home is told what a team got from the others, which loses its weight as shares do.
func TestReceiptsOfOtherGroups(t *testing.T) {
	g := NewWithT(t)
	const window = 4 * time.Second
	r := dispatch.NewReceipts[int](window)
	r.Add(time.Second, "a", 1, 100)
	r.Add(time.Second, "a", 2, 40)
	r.Add(time.Second, "b", 1, 7)
	g.Expect(r.Elsewhere(time.Second, "a", 1)).To(Equal(dispatch.Got{Window: 40, Lately: 40}))
	g.Expect(r.Elsewhere(time.Second, "a", 3)).To(Equal(dispatch.Got{Window: 140, Lately: 140}))
	g.Expect(r.Elsewhere(time.Second, "b", 1)).To(Equal(dispatch.Got{}))
	g.Expect(r.Elsewhere(time.Second, "nobody", 1)).To(Equal(dispatch.Got{}))
	later := r.Elsewhere(time.Second+window, "a", 2)
	g.Expect(later.Window).To(BeNumerically("~", 36.8, 0.1))
	g.Expect(later.Lately).To(BeNumerically("~", 1.83, 0.01))
	g.Expect(r.Elsewhere(time.Minute, "a", 2)).To(Equal(dispatch.Got{}))
}

// Thousands of teams come and go; what is kept of them is bounded, and the present ones
// are still known.
func TestReceiptsAreBounded(t *testing.T) {
	g := NewWithT(t)
	r := dispatch.NewReceipts[int](time.Second)
	for i := range 100000 {
		r.Add(time.Second, strconv.Itoa(i), 1, 10)
	}
	g.Expect(r.Teams()).To(BeNumerically("<=", 4096))
	g.Expect(r.Elsewhere(time.Second, "99999", 2).Window).To(BeNumerically("==", 10))
}
