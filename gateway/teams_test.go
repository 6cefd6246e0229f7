package gateway_test

import (
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/aspenswitch/aspenswitch/dispatch"
	"github.com/aspenswitch/aspenswitch/gateway"
)

// A team got little for some seconds. Afterwards the counts must tell whether homes
// refused it, or this router did by itself, and on decisions of what age.
func TestTeamLoadsTellWhoRefused(t *testing.T) {
	g := NewWithT(t)
	r := newRig(t, map[string]script{"u1": ok("answer")})
	call := func() int {
		resp, _, err := r.call("/safe/", func(req *http.Request) { req.Header.Set(names.Tokens, "900,50") })
		g.Expect(err).NotTo(HaveOccurred())
		return resp.StatusCode
	}
	g.Expect(call()).To(Equal(200))
	g.Expect(r.server.TeamLoads(5)).To(BeEmpty(), "nothing was refused")

	r.placer.refuse = &dispatch.Decision{Verdict: dispatch.Refuse, OverShare: true, RetryAfter: 100 * time.Millisecond, Allowance: 10}
	g.Expect(call()).To(Equal(429))
	g.Expect(call()).To(Equal(429))
	time.Sleep(10 * time.Millisecond)
	g.Expect(call()).To(Equal(429))
	loads := r.server.TeamLoads(5)
	g.Expect(loads).To(HaveLen(1))
	g.Expect(loads[0].ShedAge).To(BeNumerically(">=", 10*time.Millisecond))
	loads[0].ShedAge = 0
	g.Expect(loads[0]).To(Equal(gateway.TeamLoad{Team: "schools", Asked: 3, AskedTokens: 3000, OverShare: 2, Shed: 1}))

	r.placer.group = 1
	r.placer.refuse = &dispatch.Decision{Verdict: dispatch.Refuse, RetryAfter: 100 * time.Millisecond}
	g.Expect(call()).To(Equal(503))
	g.Expect(r.server.TeamLoads(5)).To(Equal([]gateway.TeamLoad{{Team: "schools", Asked: 1, AskedTokens: 1000, NoRoom: 1}}))
}
