package gateway_test

import (
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/aspenswitch/aspenswitch/dispatch"
)

// The refusal tells when to come back.
func TestRefusalTellsWhenToComeBack(t *testing.T) {
	g := NewWithT(t)
	r := newRig(t, map[string]script{"u1": ok("answer")})
	r.placer.refuse = &dispatch.Decision{Verdict: dispatch.Refuse, RetryAfter: 450 * time.Millisecond}
	resp, _, err := r.call("/safe/", nil)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(resp.StatusCode).To(Equal(503))
	g.Expect(resp.Header.Get("Retry-After")).To(Equal("0.45"))
}

// Guards against a flood that asks homes for all of its requests, and holds up other teams.
func TestFloodIsRefusedWithoutAQuestion(t *testing.T) {
	g := NewWithT(t)
	r := newRig(t, map[string]script{"u1": ok("answer")})
	r.publish(r.state.Snapshot().View, "k1", "k2")
	asked := 0
	r.placer.before = func() { asked++ }
	call := func(key string) int {
		resp, _, err := r.call("/safe/", func(req *http.Request) {
			req.Header.Set(names.Key, key)
			req.Header.Set(names.Tokens, "900,50")
		})
		g.Expect(err).NotTo(HaveOccurred())
		return resp.StatusCode
	}
	r.placer.refuse = &dispatch.Decision{Verdict: dispatch.Refuse, OverShare: true, RetryAfter: 100 * time.Millisecond, Allowance: 10}
	g.Expect(call("k1")).To(Equal(429), "the home says what is allowed")
	g.Expect(call("k1")).To(Equal(429), "this one uses it up")
	g.Expect(asked).To(Equal(2))
	g.Expect(call("k1")).To(Equal(429))
	g.Expect(asked).To(Equal(2))
	g.Expect(r.placer.shed).To(HaveLen(1), "the home hears of it")

	r.placer.refuse = nil
	g.Expect(call("k2")).To(Equal(200))

	// No bound any more: the flood is over, or engines have come.
	r.placer.refuse = &dispatch.Decision{Verdict: dispatch.Refuse, OverShare: true, Allowance: dispatch.Unlimited}
	r.placer.group = 1
	g.Expect(call("k1")).To(Equal(429))
	g.Expect(asked).To(Equal(4), "another home allows it more")
	r.placer.group = 0
	g.Expect(call("k1")).To(Equal(429))
	g.Expect(asked).To(Equal(4), "which says nothing of the first")
}

// Guards against requests that a late router sends to upstreams which have left.
func TestRouterThatIsBehindDoesNotSendOnAnOldView(t *testing.T) {
	g := NewWithT(t)
	r := newRig(t, map[string]script{"u1": ok("answer")})
	r.placer.before = func() {
		r.placer.lag.Store(int64(time.Second))
		r.state.age.Store(int64(3 * time.Second))
	}
	resp, _, err := r.call("/safe/", nil)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(resp.StatusCode).To(Equal(503))
	g.Expect(r.runs()).To(BeEmpty())

	// An outage of the platform alone, with nothing behind, stops nothing.
	r.placer.before = func() { r.placer.lag.Store(0) }
	r.placer.lag.Store(0)
	resp, _, err = r.call("/safe/", nil)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(resp.StatusCode).To(Equal(200))
}

// Guards against work on an old view by a router that reads late what its peers tell it.
func TestRouterThatReadsLateDoesNotSendOnAnOldView(t *testing.T) {
	g := NewWithT(t)
	r := newRig(t, map[string]script{"u1": ok("answer")})
	r.placer.readLag.Store(int64(400 * time.Millisecond))
	r.state.age.Store(int64(3 * time.Second))
	resp, _, err := r.call("/safe/", nil)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(resp.StatusCode).To(Equal(503))
	g.Expect(r.runs()).To(BeEmpty())
}

// Guards against a late router that denies routes and keys which were added.
func TestRouterThatIsBehindDeniesNothingOnAnOldView(t *testing.T) {
	g := NewWithT(t)
	r := newRig(t, map[string]script{"u1": ok("answer")})
	status := func(path, key string) int {
		resp, _, err := r.call(path, func(req *http.Request) { req.Header.Set(names.Key, key) })
		g.Expect(err).NotTo(HaveOccurred())
		return resp.StatusCode
	}
	r.placer.lag.Store(int64(100 * time.Millisecond))
	r.state.age.Store(int64(3 * time.Second))
	g.Expect(status("/added/", "k1")).To(Equal(503))
	g.Expect(status("/safe/", "added")).To(Equal(503))

	// One that keeps up, or whose view is young, denies them.
	r.placer.lag.Store(0)
	g.Expect(status("/added/", "k1")).To(Equal(404))
	r.placer.lag.Store(int64(100 * time.Millisecond))
	r.state.age.Store(int64(time.Second))
	g.Expect(status("/safe/", "added")).To(Equal(401))
}
