package gateway_test

import (
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/aspenswitch/aspenswitch/dispatch"
)

// Guards against refusals without the Retry-After delay of the placement decision.
func TestRefusalHasRetryAfter(t *testing.T) {
	g := NewWithT(t)
	r := newHarness(t, map[string]script{"u1": ok("answer")})
	r.placer.refuse = &dispatch.Decision{Verdict: dispatch.Refuse, RetryAfter: 450 * time.Millisecond}
	resp, _, err := r.call("/safe/", nil)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(resp.StatusCode).To(Equal(503))
	g.Expect(resp.Header.Get("Retry-After")).To(Equal("0.45"))
}

// Guards against asking homes about every request of a flood, which delays other teams.
func TestFloodIsRefusedWithoutAskingTheHome(t *testing.T) {
	g := NewWithT(t)
	r := newHarness(t, map[string]script{"u1": ok("answer")})
	r.publish(r.state.Snapshot().View, "k1", "k2")
	placements := 0
	r.placer.beforePlace = func() { placements++ }
	call := func(key string) int {
		resp, _, err := r.call("/safe/", func(req *http.Request) {
			req.Header.Set(names.APIKey, key)
			req.Header.Set(names.Tokens, "900,50")
		})
		g.Expect(err).NotTo(HaveOccurred())
		return resp.StatusCode
	}
	r.placer.refuse = &dispatch.Decision{Verdict: dispatch.Refuse, OverShare: true, RetryAfter: 100 * time.Millisecond, Allowance: 10}
	g.Expect(call("k1")).To(Equal(429), "the home sets the allowed rate")
	g.Expect(call("k1")).To(Equal(429), "the second request uses it up")
	g.Expect(placements).To(Equal(2))
	g.Expect(call("k1")).To(Equal(429))
	g.Expect(placements).To(Equal(2))
	g.Expect(r.placer.shed).To(HaveLen(1), "the refusal is reported to the home")

	r.placer.refuse = nil
	g.Expect(call("k2")).To(Equal(200))

	// The limit is lifted: the flood is over, or engines were added.
	r.placer.refuse = &dispatch.Decision{Verdict: dispatch.Refuse, OverShare: true, Allowance: dispatch.Unlimited}
	r.placer.group = 1
	g.Expect(call("k1")).To(Equal(429))
	g.Expect(placements).To(Equal(4), "another home allows a higher rate")
	r.placer.group = 0
	g.Expect(call("k1")).To(Equal(429))
	g.Expect(placements).To(Equal(4), "a higher rate of another home must not change the rate of the first home")
}

// Guards against an overloaded router that sends requests to upstreams that are draining or
// have been removed.
func TestRouterThatIsBehindDoesNotSendOnAnOldView(t *testing.T) {
	g := NewWithT(t)
	r := newHarness(t, map[string]script{"u1": ok("answer")})
	r.placer.beforePlace = func() {
		r.placer.lag.Store(int64(time.Second))
		r.state.age.Store(int64(3 * time.Second))
	}
	resp, _, err := r.call("/safe/", nil)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(resp.StatusCode).To(Equal(503))
	g.Expect(r.requests()).To(BeEmpty())

	// An outage of the platform alone, without overload, must not stop requests.
	r.placer.beforePlace = func() { r.placer.lag.Store(0) }
	r.placer.lag.Store(0)
	resp, _, err = r.call("/safe/", nil)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(resp.StatusCode).To(Equal(200))
}

// Guards against sending on an old state by a router that reads the messages of its peers late.
func TestRouterThatReadsLateDoesNotSendOnAnOldView(t *testing.T) {
	g := NewWithT(t)
	r := newHarness(t, map[string]script{"u1": ok("answer")})
	r.placer.readLag.Store(int64(400 * time.Millisecond))
	r.state.age.Store(int64(3 * time.Second))
	resp, _, err := r.call("/safe/", nil)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(resp.StatusCode).To(Equal(503))
	g.Expect(r.requests()).To(BeEmpty())
}

// Guards against an overloaded router that denies routes and keys which were added.
func TestRouterThatIsBehindDeniesNothingOnAnOldView(t *testing.T) {
	g := NewWithT(t)
	r := newHarness(t, map[string]script{"u1": ok("answer")})
	status := func(path, key string) int {
		resp, _, err := r.call(path, func(req *http.Request) { req.Header.Set(names.APIKey, key) })
		g.Expect(err).NotTo(HaveOccurred())
		return resp.StatusCode
	}
	r.placer.lag.Store(int64(100 * time.Millisecond))
	r.state.age.Store(int64(3 * time.Second))
	g.Expect(status("/added/", "k1")).To(Equal(503))
	g.Expect(status("/safe/", "added")).To(Equal(503))

	// A router that is not overloaded, or whose state is recent, denies them.
	r.placer.lag.Store(0)
	g.Expect(status("/added/", "k1")).To(Equal(404))
	r.placer.lag.Store(int64(100 * time.Millisecond))
	r.state.age.Store(int64(time.Second))
	g.Expect(status("/safe/", "added")).To(Equal(401))
}
