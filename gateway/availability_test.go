package gateway_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/aspenswitch/aspenswitch/registry"
)

// Guards against ignoring the leaving notice of certain kinds of responses.
func TestLeavingNoticeAppliesInAnyAnswer(t *testing.T) {
	rejection := func(code int) script { return status(code, "X-Seal: s\r\nX-Not-Run: 1\r\nX-Leaving: 1\r\n") }
	for name, c := range map[string]struct {
		path   string
		script script
	}{
		"a whole response": {"/unsafe/x", status(200, "X-Seal: s\r\nX-Leaving: 1\r\n")},
		"a stream":         {"/stream/x", leavingStream},
		"a failure":        {"/unsafe/x", status(500, "X-Seal: s\r\nX-Leaving: 1\r\n")},
		"a rejection":      {"/safe/x", rejection(503)},
		"a wrong instance": {"/safe/x", rejection(421)},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			r := newHarness(t, map[string]script{"u1": c.script, "u2": ok("answer")})
			for range 4 {
				_, _, err := r.call(c.path, nil)
				g.Expect(err).NotTo(HaveOccurred())
			}
			received := 0
			for _, run := range r.requests() {
				if run.upstream == "u1" {
					received++
				}
			}
			g.Expect(received).To(Equal(1))
			g.Expect(r.placer.reportedLeaving()).NotTo(BeEmpty(), "must be reported to the home")
		})
	}
}

// Guards against sending no requests to an upstream that has restarted under the same ID.
func TestRestartedUpstreamIsUsedAgain(t *testing.T) {
	g := NewWithT(t)
	r := newHarness(t, map[string]script{"u1": status(200, "X-Seal: s\r\nX-Leaving: 1\r\n")})
	address := r.state.Snapshot().View.Upstream("u1").Address
	publish := func(started, revision int64) {
		reg := registry.New()
		reg.Put(0, registry.Upstream{ID: "u1", Service: "llm", Address: address, Started: started, Revision: revision})
		r.publish(reg.View(), "k1")
	}
	for i, want := range []int{http.StatusOK, http.StatusServiceUnavailable} {
		publish(1000, 2)
		resp, _, err := r.call("/unsafe/x", nil)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(resp.StatusCode).To(Equal(want), "call %d", i)
	}
	publish(500, 3)
	resp, _, err := r.call("/unsafe/x", nil)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(resp.StatusCode).To(Equal(http.StatusOK))
}

// leavingStream responds with a leaving notice and a stream of two events.
func leavingStream(req *http.Request, w io.Writer) bool {
	var b strings.Builder
	fmt.Fprintf(&b, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Seal: s\r\nX-Leaving: 1\r\nTransfer-Encoding: chunked\r\n\r\n", req.Header.Get("X-Id"))
	chunk(&b, "id: 1\ndata: 1\n\n")
	chunk(&b, "id: 2\ndata: 2\n\n")
	b.WriteString("0\r\n\r\n")
	_, err := io.WriteString(w, b.String())
	return err == nil
}

// Guards against sending a request to an upstream that sent Retry-After during its placement.
func TestRetryAfterIsCheckedBeforeSending(t *testing.T) {
	g := NewWithT(t)
	r := newHarness(t, map[string]script{"u1": status(503, "X-Not-Run: 1\r\nRetry-After: 30\r\n"), "u2": ok("answer")})
	placing, resume := make(chan struct{}), make(chan struct{})
	var blocked atomic.Bool
	r.placer.beforePlace = func() {
		if !blocked.Swap(true) {
			close(placing)
			<-resume
		}
	}
	firstStatus := make(chan int)
	go func() {
		resp, _, err := r.call("/unsafe/x", nil)
		if err != nil {
			firstStatus <- 0
			return
		}
		firstStatus <- resp.StatusCode
	}()
	<-placing
	resp, _, err := r.call("/unsafe/x", nil)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(resp.StatusCode).To(Equal(http.StatusOK), "it is retried at the other upstream")
	close(resume)
	g.Expect(<-firstStatus).To(Equal(http.StatusOK))
	var upstreams []string
	for _, run := range r.requests() {
		upstreams = append(upstreams, run.upstream)
	}
	g.Expect(upstreams).To(Equal([]string{"u1", "u2", "u2"}))
}
