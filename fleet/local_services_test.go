package fleet

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/aspenswitch/aspenswitch/feed"
	"github.com/aspenswitch/aspenswitch/registry"
	"github.com/aspenswitch/aspenswitch/routing"
)

// domainState returns a state with so many upstreams of a service in each failure domain.
func domainState(sizes ...int) *feed.Snapshot {
	r := registry.New()
	for domain, size := range sizes {
		for i := range size {
			r.Put(0, registry.Upstream{ID: fmt.Sprintf("u%d-%d", domain, i), Service: "llm", FailureDomain: fmt.Sprint("z", domain), Revision: 1})
		}
	}
	table := routing.NewTable(&routing.Config{Services: []routing.Service{{Name: "llm"}}})
	return &feed.Snapshot{Table: table, View: r.View()}
}

// Guards against locality that starts or ends whenever some upstreams crash, return or are added,
// and against one that relies on a domain of few upstreams.
func TestLocalityNeedsLargeDomains(t *testing.T) {
	g := NewWithT(t)
	var l localServices
	for _, step := range []struct {
		sizes []int
		local bool
	}{
		{[]int{30}, false},
		{[]int{30, 15, 30}, false},
		{[]int{30, 2, 1}, false},
		{[]int{30, 16, 30}, true},
		{[]int{20, 8, 20}, true},
		{[]int{20, 0, 20}, true}, // evacuated
		{[]int{20, 7, 20}, false},
		{[]int{30, 15, 30}, false},
		{[]int{30, 30, 30}, true},
		{[]int{30, 0, 0}, false},
	} {
		s := domainState(step.sizes...)
		for range 2 {
			g.Expect(l.update(s, "llm")).To(Equal(step.local), "%v", step.sizes)
			g.Expect(l.update(s, "other")).To(BeFalse())
		}
	}
}
