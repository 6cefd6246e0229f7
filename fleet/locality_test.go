package fleet_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/aspenswitch/aspenswitch/dispatch"
	"github.com/aspenswitch/aspenswitch/feed"
	"github.com/aspenswitch/aspenswitch/fleet"
	"github.com/aspenswitch/aspenswitch/registry"
)

// domainsOf returns a function that replaces the upstreams of a batch by so many in each of the
// domains z0, z1 and so on.
func domainsOf(sizes ...int) func(*feed.Batch) {
	return func(b *feed.Batch) {
		b.Changes = b.Changes[:1]
		for domain, size := range sizes {
			for i := range size {
				b.Changes = append(b.Changes, feed.Change{Revision: 1, Upstream: &registry.Upstream{
					ID: fmt.Sprintf("z%d-%d", domain, i), Service: "llm", Address: "127.0.0.1:1", FailureDomain: fmt.Sprint("z", domain), Slots: 64, Revision: 1,
				}})
			}
		}
	}
}

// Guards against homes that don't take the failure domain of the router that asks, and against
// locality in a fleet with a small domain.
func TestRequestsStayInTheDomainOfTheirRouter(t *testing.T) {
	for name, c := range map[string]struct {
		sizes []int
		local bool
	}{
		"large domains":  {[]int{16, 16, 16}, true},
		"a small domain": {[]int{16, 15, 17}, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				f := newCluster(t)
				f.configure = func(i int, c *fleet.Config) {
					c.Domain, c.Engine.Locality = fmt.Sprint("z", i%3), true
				}
				f.start(6, &source{revision: 1, version: 1, edit: domainsOf(c.sizes...)})
				near := 0
				const requests = 60
				for i := range requests {
					m := f.all[i%len(f.all)]
					d, ticket, err := requestPlacement(m, uint64(100+i))
					g.Expect(err).NotTo(HaveOccurred())
					g.Expect(d.Verdict).To(Equal(dispatch.Send))
					if d.Upstream[:2] == fmt.Sprint("z", i%3) {
						near++
					}
					m.node.Started("llm", ticket, dispatch.LoadReport{})
					m.node.Done("llm", ticket, dispatch.Served, time.Second)
				}
				if c.local {
					g.Expect(near).To(Equal(requests))
				} else {
					g.Expect(near).To(BeNumerically("<", requests*2/3))
				}
			})
		})
	}
}
