package gateway_test

import (
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/aspenswitch/aspenswitch/dispatch"
	"github.com/aspenswitch/aspenswitch/gateway"
)

// Guards against counts that can't explain why a team was served little for some seconds. They
// must distinguish refusals by homes from refusals by this router, and include the age of the
// decisions that this router used.
func TestTeamLoadsShowWhoRefused(t *testing.T) {
	g := NewWithT(t)
	r := newHarness(t, map[string]script{"u1": ok("answer")})
	call := func() int {
		resp, _, err := r.call("/safe/", func(req *http.Request) { req.Header.Set(names.Tokens, "900,50") })
		g.Expect(err).NotTo(HaveOccurred())
		return resp.StatusCode
	}
	g.Expect(call()).To(Equal(200))
	g.Expect(r.server.TakeTeamLoads(5)).To(BeEmpty(), "nothing was refused")

	r.placer.refuse = &dispatch.Decision{Verdict: dispatch.Refuse, OverShare: true, RetryAfter: 100 * time.Millisecond, Allowance: 10}
	g.Expect(call()).To(Equal(429))
	g.Expect(call()).To(Equal(429))
	time.Sleep(10 * time.Millisecond)
	g.Expect(call()).To(Equal(429))
	loads := r.server.TakeTeamLoads(5)
	g.Expect(loads).To(HaveLen(1))
	g.Expect(loads[0].ShedAge).To(BeNumerically(">=", 10*time.Millisecond))
	loads[0].ShedAge = 0
	g.Expect(loads[0]).To(Equal(gateway.TeamLoad{Team: "schools", Received: 3, ReceivedTokens: 3000, OverShare: 2, Shed: 1}))

	r.placer.group = 1
	r.placer.refuse = &dispatch.Decision{Verdict: dispatch.Refuse, RetryAfter: 100 * time.Millisecond}
	g.Expect(call()).To(Equal(503))
	g.Expect(r.server.TakeTeamLoads(5)).To(Equal([]gateway.TeamLoad{{Team: "schools", Received: 1, ReceivedTokens: 1000, NoCapacity: 1}}))
}
