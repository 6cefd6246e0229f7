package fleet_test

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/aspenswitch/aspenswitch/dispatch"
)

// Guards against a home choosing an upstream after another router has received its leaving notice.
func TestHomeDoesNotChooseLeavingUpstream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		all := start(t, 4, &source{revision: 1, version: 1})
		leaving := nextUpstream(g, all)
		for _, m := range all {
			m.node.ReportLeaving("llm", dispatch.Incarnation{ID: leaving})
			time.Sleep(propagationTime)
			for i := range 20 {
				next, ticket, err := requestPlacement(all[i%len(all)], 5)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(next.Verdict).To(Equal(dispatch.Send))
				g.Expect(next.Upstream).NotTo(Equal(leaving))
				all[i%len(all)].node.Done("llm", ticket, dispatch.Served, time.Second)
			}
			leaving = nextUpstream(g, all)
		}
	})
}

// nextUpstream returns the upstream chosen for the next request of session 5.
func nextUpstream(g Gomega, all []*member) string {
	d, ticket, err := requestPlacement(all[0], 5)
	g.Expect(err).NotTo(HaveOccurred())
	all[0].node.Done("llm", ticket, dispatch.Served, time.Second)
	return d.Upstream
}
