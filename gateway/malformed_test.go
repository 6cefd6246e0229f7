package gateway_test

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/aspenswitch/aspenswitch/dispatch"
)

// maxSentBytes ends a test in which the gateway never closes the connection.
const maxSentBytes = 256 << 20

// endless responds with start, followed by unit until the gateway closes the connection.
func endless(start, unit string) script {
	return func(req *http.Request, w io.Writer) bool {
		if start != "" {
			if _, err := fmt.Fprintf(w, start, req.Header.Get("X-Id")); err != nil {
				return false
			}
		}
		block := bytes.Repeat([]byte(unit), (32<<10)/len(unit))
		for sent := 0; sent < maxSentBytes; sent += len(block) {
			if _, err := w.Write(block); err != nil {
				return false
			}
		}
		return false
	}
}

// allocatedBytes returns the bytes of heap that f allocates, which bound the bytes that it holds.
func allocatedBytes(f func()) uint64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	f()
	runtime.ReadMemStats(&after)
	return after.TotalAlloc - before.TotalAlloc
}

// Guards against malformed responses that hold up a request, take memory, or count as crashes.
func TestRequestIsRetriedAfterAnEndlessHeader(t *testing.T) {
	g := NewWithT(t)
	r := newHarness(t, map[string]script{"u1": endless("", "\xa5"), "u2": ok("right")})
	started := time.Now()
	var resp *http.Response
	var body string
	var err error
	allocated := allocatedBytes(func() { resp, body, err = r.call("/safe/x", nil) })
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(resp.StatusCode).To(Equal(http.StatusOK))
	g.Expect(body).To(Equal("right"))
	g.Expect(time.Since(started)).To(BeNumerically("<", 750*time.Millisecond), "half of the deadline")
	g.Expect(allocated).To(BeNumerically("<", 2<<20))
	g.Expect(r.placer.reportedOutcomes()).To(Equal([]dispatch.Outcome{dispatch.Failed, dispatch.Served}))
	g.Expect(r.placer.crashes).To(BeZero())
	g.Expect(r.logs.String()).To(And(ContainSubstring("upstream_malformed"), ContainSubstring(`"reason":"not_http"`)))
}

// Guards against a malformed response that is reported as "not run".
func TestEndlessHeaderIsNoProofThatTheRequestDidNotRun(t *testing.T) {
	g := NewWithT(t)
	r := newHarness(t, map[string]script{"u1": endless("HTTP/1.1 503 Busy\r\nX-Id: %s\r\nX-Not-Run: 1\r\nX-Filler: ", "a"), "u2": ok("right")})
	resp, _, err := r.call("/unsafe/x", nil)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(resp.StatusCode).To(Equal(http.StatusBadGateway))
	g.Expect(r.requests()).To(HaveLen(1))
	g.Expect(r.logs.String()).To(ContainSubstring(`"reason":"header_too_large"`))
}

// Guards against rejections whose body doesn't end, which held the request until its deadline.
func TestRejectionIsJudgedWithoutTheEndOfItsBody(t *testing.T) {
	const header = "HTTP/1.1 503 Busy\r\nX-Id: %s\r\nX-Not-Run: 1\r\n"
	for name, u1 := range map[string]script{
		"endless": endless(header+"\r\n", "a"),
		"stalled": func(req *http.Request, w io.Writer) bool {
			_, err := fmt.Fprintf(w, header+"Content-Length: 9\r\n\r\nabc", req.Header.Get("X-Id"))
			time.Sleep(3 * time.Second)
			return err == nil
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			r := newHarness(t, map[string]script{"u1": u1, "u2": ok("right")})
			started := time.Now()
			resp, body, err := r.call("/unsafe/x", nil)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(resp.StatusCode).To(Equal(http.StatusOK))
			g.Expect(body).To(Equal("right"))
			g.Expect(time.Since(started)).To(BeNumerically("<", 750*time.Millisecond), "half of the deadline")
			g.Expect(r.placer.reportedOutcomes()).To(Equal([]dispatch.Outcome{dispatch.Rejected, dispatch.Served}))
		})
	}
}
