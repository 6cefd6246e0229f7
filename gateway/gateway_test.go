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

func TestRequestGoesOnAsItCame(t *testing.T) {
	g := NewWithT(t)
	r := newRig(t, map[string]script{"u1": ok("answer")})
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
	got := r.runs()
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
			r := newRig(t, map[string]script{"u1": ok("answer")})
			resp, _, err := r.call(c.path, func(req *http.Request) { req.Header.Set("X-Key", c.key) })
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(resp.StatusCode).To(Equal(c.status))
			g.Expect(resp.Header.Get("Aspenswitch-Outcome")).To(Equal("not-run"))
			g.Expect(r.runs()).To(BeEmpty())
		})
	}
}

// A key that was taken away would still be served, or a new one denied. The
// router has lost touch with the platform; it says that it can't decide.
func TestStaleViewDecidesNothingAboutKeys(t *testing.T) {
	for _, key := range []string{"k1", "k9"} {
		g := NewWithT(t)
		r := newRig(t, map[string]script{"u1": ok("answer")})
		r.state.fresh.Store(false)
		resp, _, err := r.call("/safe/", func(req *http.Request) { req.Header.Set("X-Key", key) })
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(resp.StatusCode).To(Equal(503))
		g.Expect(resp.Header.Get("Retry-After")).NotTo(BeEmpty())
		g.Expect(r.runs()).To(BeEmpty())
	}
}

// The request waits for its turn while its key is taken away and its upstream
// leaves. Both are checked again at the moment of sending.
func TestRightsAreCheckedWhenTheRequestIsSent(t *testing.T) {
	t.Run("key", func(t *testing.T) {
		g := NewWithT(t)
		r := newRig(t, map[string]script{"u1": ok("answer")})
		r.placer.before = func() { r.publish(r.state.Snapshot().View, "k2") }
		resp, _, err := r.call("/safe/", nil)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(resp.StatusCode).To(Equal(401))
		g.Expect(r.runs()).To(BeEmpty())
	})
	t.Run("upstream", func(t *testing.T) {
		g := NewWithT(t)
		r := newRig(t, map[string]script{"u1": ok("one"), "u2": ok("two")})
		r.placer.before = func() {
			reg := registry.New()
			left := r.state.Snapshot().View.All()
			for _, u := range left {
				u.Draining = u.ID == "u1"
				reg.Put(0, u)
			}
			r.publish(reg.View(), "k1")
		}
		_, body, err := r.call("/unsafe/", nil)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(body).To(Equal("two"))
		g.Expect(r.runs()).To(HaveLen(1))
	})
}

// Two vans would go to one pitch. The upstream takes the request and breaks off:
// it may have run, so it isn't sent again, and the caller isn't told "not run".
func TestUnsafeRequestIsNeverSentTwice(t *testing.T) {
	g := NewWithT(t)
	r := newRig(t, map[string]script{"u1": drop, "u2": ok("second")})
	resp, _, err := r.call("/unsafe/", nil)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(resp.StatusCode).To(Equal(502))
	g.Expect(resp.Header.Get("Aspenswitch-Outcome")).To(Equal("unknown"))
	g.Expect(r.runs()).To(HaveLen(1))
}

func TestSafeRequestIsSentToAnotherUpstream(t *testing.T) {
	for name, first := range map[string]script{"breaks off": drop, "fails": status(500, "X-Seal: s\r\n"), "unsealed": status(200, "")} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			r := newRig(t, map[string]script{"u1": first, "u2": ok("second")})
			_, body, err := r.call("/safe/", nil)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(body).To(Equal("second"))
			g.Expect(r.runs()).To(HaveLen(2))
		})
	}
}

// An upstream that is full says that it didn't run the request, so also one that
// must not be repeated may go to another.
func TestRejectedRequestGoesToAnotherUpstream(t *testing.T) {
	g := NewWithT(t)
	r := newRig(t, map[string]script{"u1": status(503, "X-Not-Run: 1\r\n"), "u2": ok("second")})
	_, body, err := r.call("/unsafe/", nil)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(body).To(Equal("second"))
	g.Expect(r.placer.seen()).To(Equal([]dispatch.Outcome{dispatch.Rejected, dispatch.Served}))
}

func TestAttemptsAreBounded(t *testing.T) {
	g := NewWithT(t)
	full := status(503, "X-Not-Run: 1\r\n")
	r := newRig(t, map[string]script{"u1": full, "u2": full, "u3": ok("third")})
	resp, _, err := r.call("/safe/", nil)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(resp.StatusCode).To(Equal(503))
	g.Expect(resp.Header.Get("Aspenswitch-Outcome")).To(Equal("not-run"))
	g.Expect(r.runs()).To(HaveLen(2))
}

// A status that promises "not run" without the upstream's word for it would be a
// lie: the request has been sent.
func TestBareBusyStatusIsNoPromise(t *testing.T) {
	for _, code := range []int{408, 429, 503} {
		g := NewWithT(t)
		r := newRig(t, map[string]script{"u1": status(code, "X-Seal: s\r\n")})
		resp, _, err := r.call("/unsafe/", nil)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(resp.StatusCode).To(Equal(502))
		g.Expect(resp.Header.Get("X-Seal")).To(BeEmpty(), "a seal belongs to the upstream's own status")
	}
}

// The upstream never answers; the caller is told at the route's time, not later,
// and not that nothing ran.
func TestSilentUpstreamIsAnsweredForInTime(t *testing.T) {
	g := NewWithT(t)
	release := make(chan struct{})
	t.Cleanup(func() { close(release) })
	r := newRig(t, map[string]script{"u1": func(*http.Request, io.Writer) bool { <-release; return false }})
	resp, _, err := r.call("/unsafe/", func(req *http.Request) { req.Header.Set("X-Left", "200") })
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(resp.StatusCode).To(Equal(504))
	g.Expect(resp.Header.Get("Aspenswitch-Outcome")).To(Equal("unknown"))
}

// The caller leaves; the upstream must not work on for nobody.
func TestCallerThatLeavesCancelsTheUpstream(t *testing.T) {
	g := NewWithT(t)
	begun, cancelled := make(chan struct{}), make(chan struct{})
	r := newRig(t, map[string]script{"u1": func(_ *http.Request, w io.Writer) bool {
		close(begun)
		_, _ = w.(interface{ Read([]byte) (int, error) }).Read(make([]byte, 1))
		close(cancelled)
		return false
	}})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-begun
		cancel()
	}()
	_, _, err := r.call("/stream/", func(req *http.Request) { *req = *req.WithContext(ctx) })
	g.Expect(err).To(HaveOccurred())
	g.Eventually(cancelled, 5*time.Second).Should(BeClosed())
	g.Eventually(r.placer.seen, 5*time.Second).Should(Equal([]dispatch.Outcome{dispatch.Cancelled}))
	// The log must not blame a deadline that was seconds away.
	g.Eventually(r.log.String, 5*time.Second).Should(ContainSubstring(`"cause":"caller_left`))
}

// A stopping router lets running answers end, sends new requests on, and says so.
func TestStopCutsNoAnswer(t *testing.T) {
	g := NewWithT(t)
	begun := make(chan struct{})
	r := newRig(t, map[string]script{"u1": func(req *http.Request, w io.Writer) bool {
		close(begun)
		time.Sleep(250 * time.Millisecond)
		return ok("late")(req, w)
	}})
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
	<-begun
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

// An upstream has fallen silent, and the router stops. Its caller must not find out
// by a connection that ends without an answer when the grace is over: it is told, at
// once and on a whole answer, that the request may have run.
func TestStopAnswersWhatIsGivenUp(t *testing.T) {
	g := NewWithT(t)
	begun, release := make(chan struct{}), make(chan struct{})
	t.Cleanup(func() { close(release) })
	r := newRig(t, map[string]script{"u1": func(*http.Request, io.Writer) bool {
		close(begun)
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
	<-begun
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
	r := newRig(t, map[string]script{"u1": ok("answer")})
	resp, _, err := r.call("/safe/", func(req *http.Request) {
		req.ContentLength = 2 << 20
		req.Body = io.NopCloser(io.LimitReader(zeros{}, 2<<20))
	})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(resp.StatusCode).To(Equal(413))
	g.Expect(r.runs()).To(BeEmpty())
}

type zeros struct{}

func (zeros) Read(b []byte) (int, error) {
	clear(b)
	return len(b), nil
}

// The caller would be told that nothing ran, though the first upstream took the
// request and broke off, or ran it and failed; there is no room for a second try.
func TestRefusalAfterAFailedAttemptDoesNotSayNotRun(t *testing.T) {
	for name, first := range map[string]script{"breaks off": drop, "fails": status(500, "X-Seal: s\r\n")} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			r := newRig(t, map[string]script{"u1": first})
			resp, _, err := r.call("/safe/", nil)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(resp.StatusCode).To(Equal(502))
			g.Expect(resp.Header.Get("Aspenswitch-Outcome")).To(Equal("unknown"))
			g.Expect(r.runs()).To(HaveLen(1))
		})
	}
}
