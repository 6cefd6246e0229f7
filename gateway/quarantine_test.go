package gateway_test

import (
	"io"
	"net/http"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/aspenswitch/aspenswitch/dispatch"
	"github.com/aspenswitch/aspenswitch/quarantine"
)

// closeConnectionOn closes the connection on requests for a URI and answers others.
func closeConnectionOn(uri string) script {
	return func(req *http.Request, w io.Writer) bool {
		return req.RequestURI != uri && ok("answer")(req, w)
	}
}

func newCrashingHarness(t *testing.T, uri string) *harness {
	return newHarness(t, map[string]script{"u1": closeConnectionOn(uri), "u2": closeConnectionOn(uri), "u3": closeConnectionOn(uri)})
}

// Guards against sending quarantined requests, and against wrong outcomes in the responses.
func TestQuarantinedRequestIsRejectedAtOnce(t *testing.T) {
	// Repeatable requests are retried once, so that fewer calls reach three crashes.
	for path, calls := range map[string]int{"/safe/bad": 2, "/resume/bad": 2, "/unsafe/bad": 3, "/stream/bad": 3} {
		t.Run(path, func(t *testing.T) {
			g := NewWithT(t)
			r := newCrashingHarness(t, path)
			for range calls {
				resp, body, err := r.call(path, nil)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(resp.StatusCode).To(Equal(http.StatusBadGateway))
				g.Expect(body).To(ContainSubstring(`"outcome":"unknown"`))
			}
			for range 3 {
				resp, body, err := r.call(path, nil)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(resp.StatusCode).To(Equal(http.StatusBadGateway))
				g.Expect(resp.Header.Get("Retry-After")).To(BeEmpty())
				g.Expect(body).To(ContainSubstring(`"outcome":"not-run"`))
				g.Expect(body).To(ContainSubstring(`"code":"quarantined"`))
			}
			g.Expect(r.requests()).To(HaveLen(3))
			resp, _, err := r.call(strings.Replace(path, "bad", "good", 1), nil)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(resp.StatusCode).To(Equal(http.StatusOK))
			g.Expect(r.eventLines("failed")[calls]).To(HaveKey("content"))
		})
	}
}

// Guards against retries that crash more upstreams.
func TestSuspectRequestIsNotRetried(t *testing.T) {
	g := NewWithT(t)
	r := newCrashingHarness(t, "/safe/bad")
	_, _, _ = r.call("/safe/bad", nil)
	g.Expect(r.requests()).To(HaveLen(2), "a request is retried after its first crash")
	_, _, _ = r.call("/safe/bad", nil)
	g.Expect(r.requests()).To(HaveLen(3))

	other := newCrashingHarness(t, "/safe/bad")
	id := quarantine.NewContentKey("schools", http.MethodPost, "h", "/safe/bad", []byte("hello"))
	other.placer.ReportCrash(quarantine.Interruption{Keys: []quarantine.Key{id}, Team: "schools"}, dispatch.Incarnation{ID: "u9"}, 0)
	_, _, _ = other.call("/safe/bad", nil)
	g.Expect(other.requests()).To(HaveLen(1), "another router has reported a crash before")
}

// Guards against sending a request that was quarantined while it waited to be placed.
func TestQuarantineIsCheckedBeforeSending(t *testing.T) {
	g := NewWithT(t)
	r := newCrashingHarness(t, "/unsafe/bad")
	for range 2 {
		_, _, _ = r.call("/unsafe/bad", nil)
	}
	id := quarantine.NewContentKey("schools", http.MethodPost, "h", "/unsafe/bad", []byte("hello"))
	r.placer.beforePlace = func() {
		r.placer.ReportCrash(quarantine.Interruption{Keys: []quarantine.Key{id}, Team: "schools"}, dispatch.Incarnation{ID: "u9"}, 0)
	}
	resp, body, err := r.call("/unsafe/bad", nil)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(resp.StatusCode).To(Equal(http.StatusBadGateway))
	g.Expect(body).To(ContainSubstring(`"outcome":"not-run"`))
	g.Expect(r.requests()).To(HaveLen(2))
}

// Guards against trials that are retried or aren't sent.
func TestTrialIsSentOnce(t *testing.T) {
	g := NewWithT(t)
	r := newCrashingHarness(t, "/safe/bad")
	for range 2 {
		_, _, _ = r.call("/safe/bad", nil)
	}
	g.Expect(r.requests()).To(HaveLen(3))
	r.placer.grantTrial.Store(true)
	for _, wantSends := range []int{4, 4} {
		resp, _, err := r.call("/safe/bad", nil)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(resp.StatusCode).To(Equal(http.StatusBadGateway))
		g.Expect(r.requests()).To(HaveLen(wantSends))
	}
}
