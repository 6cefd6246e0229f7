package gateway_test

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/aspenswitch/aspenswitch/dispatch"
	"github.com/aspenswitch/aspenswitch/gateway"
	"github.com/aspenswitch/aspenswitch/registry"
)

func TestRequestIsForwardedAsReceived(t *testing.T) {
	g := NewWithT(t)
	r := newHarness(t, map[string]script{"u1": ok("answer")})
	resp, body, err := r.call("/safe//a%2fb?x=1", func(req *http.Request) {
		req.Header.Set("X-Team", "forged")
		req.Header.Set("X-Upstream", "forged")
		req.Header.Set("X-Secret", "forged")
		req.Header.Set("X-Other", "kept")
	})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(resp.StatusCode).To(Equal(200))
	g.Expect(resp.Header.Get("X-Seal")).To(Equal("s"))
	g.Expect(body).To(Equal("answer"))
	got := r.requests()
	g.Expect(got).To(HaveLen(1))
	g.Expect(got[0].uri).To(Equal("/safe//a%2fb?x=1"))
	g.Expect(got[0].body).To(Equal("hello"))
	h := got[0].header
	g.Expect(h.Get("X-Key")).To(BeEmpty(), "upstreams must not see keys")
	g.Expect(h.Values("X-Team")).To(Equal([]string{"schools"}))
	g.Expect(h.Values("X-Upstream")).To(Equal([]string{"u1"}))
	g.Expect(h.Get("X-Secret")).To(BeEmpty())
	g.Expect(h.Get("X-Other")).To(Equal("kept"))
	left, err := strconv.Atoi(h.Get("X-Left"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(left).To(BeNumerically("<=", 1500))
}

func TestOwnRefusalsSayThatNothingRan(t *testing.T) {
	for name, c := range map[string]struct {
		path, key string
		status    int
	}{
		"no route":    {"/nowhere/", "k1", 404},
		"unknown key": {"/safe/", "k9", 401},
		"no key":      {"/safe/", "", 401},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			r := newHarness(t, map[string]script{"u1": ok("answer")})
			resp, _, err := r.call(c.path, func(req *http.Request) { req.Header.Set("X-Key", c.key) })
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(resp.StatusCode).To(Equal(c.status))
			g.Expect(resp.Header.Get("Aspenswitch-Outcome")).To(Equal("not-run"))
			g.Expect(r.requests()).To(BeEmpty())
		})
	}
}

// Guards against serving a revoked key or denying a new one while the router has no connection
// to the platform. It must refuse the request as retryable.
func TestStaleViewDecidesNothingAboutKeys(t *testing.T) {
	for _, key := range []string{"k1", "k9"} {
		g := NewWithT(t)
		r := newHarness(t, map[string]script{"u1": ok("answer")})
		r.state.fresh.Store(false)
		resp, _, err := r.call("/safe/", func(req *http.Request) { req.Header.Set("X-Key", key) })
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(resp.StatusCode).To(Equal(503))
		g.Expect(resp.Header.Get("Retry-After")).NotTo(BeEmpty())
		g.Expect(r.requests()).To(BeEmpty())
	}
}

// Guards against sending a request whose key was revoked, or whose upstream started draining,
// while the request waited to be placed.
func TestRightsAreCheckedWhenTheRequestIsSent(t *testing.T) {
	t.Run("key", func(t *testing.T) {
		g := NewWithT(t)
		r := newHarness(t, map[string]script{"u1": ok("answer")})
		r.placer.beforePlace = func() { r.publish(r.state.Snapshot().View, "k2") }
		resp, _, err := r.call("/safe/", nil)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(resp.StatusCode).To(Equal(401))
		g.Expect(r.requests()).To(BeEmpty())
	})
	t.Run("upstream", func(t *testing.T) {
		g := NewWithT(t)
		r := newHarness(t, map[string]script{"u1": ok("one"), "u2": ok("two")})
		r.placer.beforePlace = func() {
			reg := registry.New()
			upstreams := r.state.Snapshot().View.All()
			for _, u := range upstreams {
				u.Draining = u.ID == "u1"
				reg.Put(0, u)
			}
			r.publish(reg.View(), "k1")
		}
		_, body, err := r.call("/unsafe/", nil)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(body).To(Equal("two"))
		g.Expect(r.requests()).To(HaveLen(1))
	})
}

// Guards against running a non-repeatable request twice, such as a booking. The upstream
// closes the connection after it has read the request, so it may have run: the request must
// not be sent again, and the outcome must not be "not-run".
func TestUnsafeRequestIsNeverSentTwice(t *testing.T) {
	g := NewWithT(t)
	r := newHarness(t, map[string]script{"u1": closeConn, "u2": ok("second")})
	resp, _, err := r.call("/unsafe/", nil)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(resp.StatusCode).To(Equal(502))
	g.Expect(resp.Header.Get("Aspenswitch-Outcome")).To(Equal("unknown"))
	g.Expect(r.requests()).To(HaveLen(1))
}

func TestSafeRequestIsSentToAnotherUpstream(t *testing.T) {
	for name, first := range map[string]script{"closes the connection": closeConn, "fails": status(500, "X-Seal: s\r\n"), "unsealed": status(200, "")} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			r := newHarness(t, map[string]script{"u1": first, "u2": ok("second")})
			_, body, err := r.call("/safe/", nil)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(body).To(Equal("second"))
			g.Expect(r.requests()).To(HaveLen(2))
		})
	}
}

// Guards against giving up on a non-repeatable request that a full upstream rejected. The
// response states that the request was not run, so it may be sent to another upstream.
func TestRejectedRequestGoesToAnotherUpstream(t *testing.T) {
	g := NewWithT(t)
	r := newHarness(t, map[string]script{"u1": status(503, "X-Not-Run: 1\r\n"), "u2": ok("second")})
	_, body, err := r.call("/unsafe/", nil)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(body).To(Equal("second"))
	g.Expect(r.placer.reportedOutcomes()).To(Equal([]dispatch.Outcome{dispatch.Rejected, dispatch.Served}))
}

func TestAttemptsAreBounded(t *testing.T) {
	g := NewWithT(t)
	full := status(503, "X-Not-Run: 1\r\n")
	r := newHarness(t, map[string]script{"u1": full, "u2": full, "u3": ok("third")})
	resp, _, err := r.call("/safe/", nil)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(resp.StatusCode).To(Equal(503))
	g.Expect(resp.Header.Get("Aspenswitch-Outcome")).To(Equal("not-run"))
	g.Expect(r.requests()).To(HaveLen(2))
}

// Guards against forwarding a status that callers take to mean "not run" if the upstream didn't
// set the NotRun header: the request was sent and may have run.
func TestBusyStatusWithoutNotRunHeaderIsReplaced(t *testing.T) {
	for _, code := range []int{408, 429, 503} {
		g := NewWithT(t)
		r := newHarness(t, map[string]script{"u1": status(code, "X-Seal: s\r\n")})
		resp, _, err := r.call("/unsafe/", nil)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(resp.StatusCode).To(Equal(502))
		g.Expect(resp.Header.Get("X-Seal")).To(BeEmpty(), "the seal is valid only with the upstream's own status")
	}
}

// Guards against late or wrong timeout responses. The upstream never responds; the caller must
// receive a response before its deadline, without the outcome "not-run".
func TestUnresponsiveUpstreamTimesOut(t *testing.T) {
	g := NewWithT(t)
	release := make(chan struct{})
	t.Cleanup(func() { close(release) })
	r := newHarness(t, map[string]script{"u1": func(*http.Request, io.Writer) bool { <-release; return false }})
	resp, _, err := r.call("/unsafe/", func(req *http.Request) { req.Header.Set("X-Left", "200") })
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(resp.StatusCode).To(Equal(504))
	g.Expect(resp.Header.Get("Aspenswitch-Outcome")).To(Equal("unknown"))
}

// Guards against an upstream that keeps working on a request whose caller has disconnected.
func TestCallerThatLeavesCancelsTheUpstream(t *testing.T) {
	g := NewWithT(t)
	started, cancelled := make(chan struct{}), make(chan struct{})
	r := newHarness(t, map[string]script{"u1": func(_ *http.Request, w io.Writer) bool {
		close(started)
		_, _ = w.(interface{ Read([]byte) (int, error) }).Read(make([]byte, 1))
		close(cancelled)
		return false
	}})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-started
		cancel()
	}()
	_, _, err := r.call("/stream/", func(req *http.Request) { *req = *req.WithContext(ctx) })
	g.Expect(err).To(HaveOccurred())
	g.Eventually(cancelled, 5*time.Second).Should(BeClosed())
	g.Eventually(r.placer.reportedOutcomes, 5*time.Second).Should(Equal([]dispatch.Outcome{dispatch.Cancelled}))
	// The logged cause must not be the deadline, which was seconds away.
	g.Eventually(r.logs.String, 5*time.Second).Should(ContainSubstring(`"cause":"caller_left`))
}

// Guards against a shutdown that truncates responses. Running responses must complete, and new
// requests must be refused with a closing connection, so that callers use another router.
func TestShutdownTruncatesNoResponse(t *testing.T) {
	g := NewWithT(t)
	started := make(chan struct{})
	// The listener must still be open when the second request is sent, on a busy host as well.
	r := newHarnessWith(t, map[string]script{"u1": func(req *http.Request, w io.Writer) bool {
		close(started)
		time.Sleep(250 * time.Millisecond)
		return ok("late")(req, w)
	}}, func(cfg *gateway.Config) { cfg.ShutdownDelay = 2 * time.Second })
	type outcome struct {
		resp *http.Response
		body string
		err  error
	}
	running := make(chan outcome, 1)
	go func() {
		resp, body, err := r.call("/safe/", nil)
		running <- outcome{resp, body, err}
	}()
	<-started
	stopped := make(chan error, 1)
	go func() { stopped <- r.server.Shutdown(context.Background()) }()
	time.Sleep(150 * time.Millisecond)
	resp, _, err := r.call("/safe/", nil)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(resp.StatusCode).To(Equal(503))
	g.Expect(resp.Close).To(BeTrue())
	o := <-running
	g.Expect(o.err).NotTo(HaveOccurred())
	g.Expect(o.body).To(Equal("late"))
	g.Expect(<-stopped).To(Succeed())
}

// Guards against connections that are closed without a response at the end of the grace period.
// The upstream is unresponsive during the shutdown; the caller must receive a complete response
// with the outcome "unknown".
func TestShutdownRespondsToAbortedRequests(t *testing.T) {
	g := NewWithT(t)
	started, release := make(chan struct{}), make(chan struct{})
	t.Cleanup(func() { close(release) })
	r := newHarness(t, map[string]script{"u1": func(*http.Request, io.Writer) bool {
		close(started)
		<-release
		return false
	}})
	type outcome struct {
		resp *http.Response
		err  error
	}
	running := make(chan outcome, 1)
	go func() {
		resp, _, err := r.call("/unsafe/", nil)
		running <- outcome{resp, err}
	}()
	<-started
	grace, cancel := context.WithTimeout(context.Background(), 400*time.Millisecond)
	defer cancel()
	_ = r.server.Shutdown(grace)
	r.server.Close()
	o := <-running
	g.Expect(o.err).NotTo(HaveOccurred())
	g.Expect(o.resp.StatusCode).To(Equal(504))
	g.Expect(o.resp.Header.Get(gateway.HeaderOutcome)).To(Equal("unknown"))
}

func TestBodyOverTheLimitIsRefused(t *testing.T) {
	g := NewWithT(t)
	r := newHarness(t, map[string]script{"u1": ok("answer")})
	resp, _, err := r.call("/safe/", func(req *http.Request) {
		req.ContentLength = 2 << 20
		req.Body = io.NopCloser(io.LimitReader(zeros{}, 2<<20))
	})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(resp.StatusCode).To(Equal(413))
	g.Expect(r.requests()).To(BeEmpty())
}

type zeros struct{}

func (zeros) Read(b []byte) (int, error) {
	clear(b)
	return len(b), nil
}

// Guards against reporting "not-run" when the first upstream read the request and closed the
// connection, or ran it and failed, and no other upstream had capacity for a retry.
func TestRefusalAfterAFailedAttemptDoesNotSayNotRun(t *testing.T) {
	for name, first := range map[string]script{"closes the connection": closeConn, "fails": status(500, "X-Seal: s\r\n")} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			r := newHarness(t, map[string]script{"u1": first})
			resp, _, err := r.call("/safe/", nil)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(resp.StatusCode).To(Equal(502))
			g.Expect(resp.Header.Get("Aspenswitch-Outcome")).To(Equal("unknown"))
			g.Expect(r.requests()).To(HaveLen(1))
		})
	}
}
