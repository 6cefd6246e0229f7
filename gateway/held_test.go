package gateway_test

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"golang.org/x/sys/unix"

	"github.com/aspenswitch/aspenswitch/dispatch"
	"github.com/aspenswitch/aspenswitch/gateway"
	"github.com/aspenswitch/aspenswitch/registry"
)

// silentAddress returns an address at which connection attempts get no answer: its accept queue is
// full.
func silentAddress(t *testing.T) string {
	t.Helper()
	g := NewWithT(t)
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = unix.Close(fd) })
	g.Expect(unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}})).To(Succeed())
	g.Expect(unix.Listen(fd, 0)).To(Succeed())
	name, err := unix.Getsockname(fd)
	g.Expect(err).NotTo(HaveOccurred())
	addr := fmt.Sprint("127.0.0.1:", name.(*unix.SockaddrInet4).Port)
	for {
		c, err := net.DialTimeout("tcp", addr, 100*time.Millisecond)
		if err != nil {
			return addr
		}
		t.Cleanup(func() { _ = c.Close() })
	}
}

// refusalTime is the aim for a refusal that needs no decision of another router.
const refusalTime = 100 * time.Millisecond

// Guards against callers that are held although this router knows that it can't serve them, and
// against refusals that don't say so or give no time to return.
func TestUnservableRequestsAreRefusedAtOnce(t *testing.T) {
	for code, prepare := range map[string]func(*harness){
		"no_configuration": func(r *harness) { r.state.set(nil) },
		"stale_view":       func(r *harness) { r.state.fresh.Store(false) },
		"router_busy":      func(r *harness) { r.placer.lag.Store(int64(time.Second)) },
	} {
		t.Run(code, func(t *testing.T) {
			g := NewWithT(t)
			r := newHarness(t, map[string]script{"u1": ok("answer")})
			_, _, err := r.call("/safe/", nil)
			g.Expect(err).NotTo(HaveOccurred(), "the router has started")
			prepare(r)
			expectRefusal(g, r, code)
			g.Expect(r.requests()).To(HaveLen(1))
			g.Expect(r.placer.placedRequests()).To(HaveLen(1), "no home is asked")
		})
	}
}

// expectRefusal sends a request that must be refused within refusalTime.
func expectRefusal(g *WithT, r *harness, code string) {
	began := time.Now()
	resp, body, err := r.call("/stream/", nil)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(time.Since(began)).To(BeNumerically("<", refusalTime))
	g.Expect(resp.StatusCode).To(Equal(http.StatusServiceUnavailable))
	g.Expect(resp.Header.Get("Retry-After")).NotTo(BeEmpty())
	g.Expect(resp.Header.Get(gateway.HeaderOutcome)).To(Equal("not-run"))
	g.Expect(body).To(ContainSubstring(code))
}

// Guards against a request that waits for its home although the state of this router has become too
// old meanwhile, and is refused for another reason.
func TestRequestIsRefusedIfTheStateGetsStaleWhileItWaits(t *testing.T) {
	g := NewWithT(t)
	r := newHarness(t, map[string]script{"u1": ok("answer")})
	r.placer.refuse = &dispatch.Decision{Verdict: dispatch.Refuse, StaleState: true}
	expectRefusal(g, r, "stale_view")
}

// Guards against a router without a path to the upstreams that tries one after the other until each
// caller's deadline.
func TestRouterWithoutAPathRefusesAtOnce(t *testing.T) {
	g := NewWithT(t)
	r := newHarness(t, map[string]script{})
	for _, id := range []string{"u1", "u2", "u3", "u4"} {
		r.registry.Put(0, registry.Upstream{ID: id, Service: "llm", Address: silentAddress(t), Version: "v1", Revision: 1})
		r.placer.upstreams = append(r.placer.upstreams, id)
	}
	r.publish(r.registry.View(), "k1")
	// Three attempts must fit into the deadline, on a busy host as well.
	r.publishTimeout(10 * time.Second)
	resp, body, err := r.call("/safe/", func(req *http.Request) { req.Header.Set(names.Deadline, "10000") })
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(resp.StatusCode).To(Equal(http.StatusServiceUnavailable))
	g.Expect(body).To(ContainSubstring("no_path"), "found by three attempts")

	probe := make(chan time.Duration)
	go func() {
		began := time.Now()
		_, _, _ = r.call("/safe/", nil)
		probe <- time.Since(began)
	}()
	time.Sleep(50 * time.Millisecond)
	expectRefusal(g, r, "no_path")
	g.Expect(<-probe).To(BeNumerically("<", 700*time.Millisecond), "a probe is one attempt")

	// The path is back.
	r.registry.Put(0, registry.Upstream{ID: "u1", Service: "llm", Address: r.startUpstream("u1", ok("answer")), Version: "v1", Revision: 2})
	r.publish(r.registry.View(), "k1")
	g.Eventually(func() int {
		resp, _, err := r.call("/safe/", nil)
		g.Expect(err).NotTo(HaveOccurred())
		return resp.StatusCode
	}, time.Second, 10*time.Millisecond).Should(Equal(http.StatusOK))
}
