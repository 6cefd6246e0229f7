package gateway_test

import (
	"io"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/aspenswitch/aspenswitch/dispatch"
	"github.com/aspenswitch/aspenswitch/resumption"
)

// Guards against resuming a stream within its answer at another or an unknown software version.
func TestStreamIsNotResumedAtAnotherVersion(t *testing.T) {
	for name, versions := range map[string][2]string{"other": {"v1", "v2"}, "not known now": {"v1", ""}, "not known at the start": {"", "v1"}, "never known": {"", ""}} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			r := newHarness(t, map[string]script{"u1": events(1, 3, "", false), "u2": events(4, 6, "", true)})
			r.setVersion("u1", versions[0])
			r.setVersion("u2", versions[1])
			resp, _, err := r.call("/resume/", nil)
			g.Expect(resp == nil || err != nil).To(BeTrue(), "the caller sees a broken connection")
			g.Expect(r.requests()).To(HaveLen(1))
		})
	}
}

// Guards against a home with an older state than this router, which chooses another version.
func TestVersionIsCheckedAtTheMomentOfSending(t *testing.T) {
	g := NewWithT(t)
	r := newHarness(t, map[string]script{"u1": events(1, 3, "", false), "u2": events(4, 6, "", true), "u3": events(4, 6, "", true)})
	r.setVersion("u2", "v2")
	_, body, err := r.call("/resume/", nil)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(body).To(ContainSubstring("id: 6"))
	g.Expect(r.requests()).To(HaveLen(2))
	g.Expect(r.requests()[1].upstream).To(Equal("u3"))
	g.Eventually(r.placer.reportedOutcomes).Should(ContainElement(dispatch.NotSent))
}

// Guards against refusing a stream as late that breaks after the time at which its first byte was due.
func TestBrokenStreamIsNotPlacedAsLate(t *testing.T) {
	g := NewWithT(t)
	late := func(req *http.Request, w io.Writer) bool {
		events(1, 3, "", false)(req, w)
		time.Sleep(1100 * time.Millisecond) // the target is 1 s
		return false
	}
	r := newHarness(t, map[string]script{"u1": late, "u2": events(4, 6, "", true)})
	_, body, err := r.call("/resume/", func(req *http.Request) { req.Header.Set(names.Deadline, "3000") })
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(body).To(ContainSubstring("id: 6"))
	placed := r.placer.placedRequests()
	g.Expect(placed).To(HaveLen(2))
	g.Expect(placed[1].Target).To(BeNumerically(">", 500*time.Millisecond))
}

// Guards against keeping a request that has brought no event at the version of its first attempt.
func TestRequestWithoutAnEventMayGoToAnotherVersion(t *testing.T) {
	g := NewWithT(t)
	r := newHarness(t, map[string]script{"u1": closeConn, "u2": events(1, 3, "", true)})
	r.setVersion("u2", "v2")
	_, body, err := r.call("/resume/", nil)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(body).To(ContainSubstring("id: 3"))
}

// Guards against a caller's continuation that runs at another version than the one that began the
// stream, or that is refused although its version serves.
func TestCallerContinuesAStreamAtItsVersion(t *testing.T) {
	g := NewWithT(t)
	r := newHarness(t, map[string]script{"u1": events(4, 6, "", true), "u2": events(4, 6, "", true)})
	r.setVersion("u2", "v2")
	r.placer.ReportStreamBegan("first", resumption.Origin{Service: "llm", Version: "v2"})
	continuation := func(attempt string) func(*http.Request) {
		return func(req *http.Request) {
			req.Header.Set("Last-Event-Id", "3")
			req.Header.Set(names.Resumes, attempt)
		}
	}
	resp, body, err := r.call("/resume/", continuation("first"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(resp.StatusCode).To(Equal(http.StatusOK))
	g.Expect(body).To(ContainSubstring("id: 6"))
	g.Expect(r.requests()).To(HaveLen(1))
	g.Expect(r.requests()[0].upstream).To(Equal("u2"))

	resp, body, err = r.call("/resume/", continuation("id1"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(resp.StatusCode).To(Equal(http.StatusOK), "the attempt that continued the stream may be named as well: %s", body)

	r.setVersion("u2", "v3")
	resp, body, _ = r.call("/resume/", continuation("first"))
	g.Expect(resp.StatusCode).To(Equal(http.StatusServiceUnavailable))
	g.Expect(body).To(ContainSubstring("version_gone"))
	resp, body, _ = r.call("/resume/", continuation("unseen"))
	g.Expect(resp.StatusCode).To(Equal(http.StatusServiceUnavailable))
	g.Expect(resp.Header.Get("Retry-After")).NotTo(BeEmpty())
	g.Expect(body).To(And(ContainSubstring("version_unknown"), ContainSubstring(`"outcome":"not-run"`)))
	g.Expect(r.requests()).To(HaveLen(2), "refused continuations don't run")
}

// Guards against a stream of a version that left before all routers restarted, and that goes on at the only
// version that they have seen, since its caller waits for longer than the timeout of the route.
func TestStreamThatMayBeOlderThanTheRoutersIsNotContinued(t *testing.T) {
	const deadline = "15000"
	for name, c := range map[string]struct {
		historyAge time.Duration
		// stated are the deadlines that callers state with first attempts.
		stated []string
		status int
	}{
		"younger than the callers' deadline":     {10 * time.Second, []string{"1000", deadline, "1000"}, http.StatusServiceUnavailable},
		"upstreams serve on after their removal": {19 * time.Second, []string{deadline}, http.StatusServiceUnavailable},
		"older than any stream":                  {25 * time.Second, []string{"1000", deadline, "1000"}, http.StatusOK},
		"no caller has stated a deadline":        {25 * time.Second, []string{deadline, ""}, http.StatusServiceUnavailable},
		"no caller has been seen":                {25 * time.Second, nil, http.StatusServiceUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			r := newHarness(t, map[string]script{"u1": events(4, 6, "", true)})
			history := resumption.NewHistory()
			history.Update(0, resumption.Versions{"llm": {"v1"}})
			for at := time.Duration(0); at <= c.historyAge; at += time.Second {
				history.Confirm(at)
			}
			r.placer.history, r.placer.historyAge = history, c.historyAge
			for _, stated := range c.stated {
				_, _, err := r.call("/resume/", func(req *http.Request) {
					req.Header.Del(names.Deadline)
					if stated != "" {
						req.Header.Set(names.Deadline, stated)
					}
				})
				g.Expect(err).NotTo(HaveOccurred())
			}
			resp, body, err := r.call("/resume/", func(req *http.Request) {
				req.Header.Set("Last-Event-Id", "3")
				req.Header.Set(names.Resumes, "before the restart")
			})
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(resp.StatusCode).To(Equal(c.status), body)
		})
	}
}
