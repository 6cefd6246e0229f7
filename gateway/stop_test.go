package gateway_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/aspenswitch/aspenswitch/gateway"
)

const (
	// stopGrace is the time for which a server in these tests stops, and stopForward how long it forwards
	// new requests.
	stopGrace   = 1500 * time.Millisecond
	stopForward = 600 * time.Millisecond
)

// newStopHarness returns a harness whose upstream takes runTime for each request.
func newStopHarness(t *testing.T, runTime time.Duration) *harness {
	r := newHarnessWith(t, map[string]script{"u1": func(req *http.Request, w io.Writer) bool {
		time.Sleep(runTime)
		return ok("done")(req, w)
	}}, func(cfg *gateway.Config) { cfg.ShutdownDelay, cfg.ForwardPeriod = 900*time.Millisecond, stopForward })
	r.publishTimeout(10 * time.Second)
	return r
}

// stop stops the server as its process does, which closes all connections at the end of the grace.
func (r *harness) stop() (ended <-chan struct{}) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		ctx, cancel := context.WithTimeout(context.Background(), stopGrace)
		defer cancel()
		_ = r.server.Shutdown(ctx)
		r.server.Close()
	}()
	return done
}

// callUntil sends a request with the given deadline.
func (r *harness) callUntil(path string, deadline time.Duration) (*http.Response, string, error) {
	return r.call(path, func(req *http.Request) { req.Header.Set(names.Deadline, fmt.Sprint(deadline.Milliseconds())) })
}

// Guards against requests that a stopping router passes on although they take longer than the grace that is
// left, and that it cuts at its end.
func TestStoppingRouterPassesOnWhatCanEndInItsGrace(t *testing.T) {
	for name, c := range map[string]struct {
		runTime time.Duration
		// history is the number of requests that have shown how long they run.
		history int
		// after is when the request is sent after the stop began.
		after, deadline time.Duration
		status          int
	}{
		"short":                           {20 * time.Millisecond, 20, 200 * time.Millisecond, 5 * time.Second, http.StatusOK},
		"longer than the grace":           {1400 * time.Millisecond, 2, 300 * time.Millisecond, 5 * time.Second, http.StatusServiceUnavailable},
		"longer, but ends by itself":      {1400 * time.Millisecond, 2, 300 * time.Millisecond, 600 * time.Millisecond, http.StatusGatewayTimeout},
		"unknown":                         {1400 * time.Millisecond, 0, 300 * time.Millisecond, 5 * time.Second, http.StatusServiceUnavailable},
		"unknown, short deadline":         {20 * time.Millisecond, 0, 200 * time.Millisecond, 600 * time.Millisecond, http.StatusOK},
		"after new requests are accepted": {20 * time.Millisecond, 20, 800 * time.Millisecond, 5 * time.Second, http.StatusServiceUnavailable},
	} {
		for _, path := range []string{"/unsafe/x", "/safe/x"} {
			t.Run(name+path, func(t *testing.T) {
				t.Parallel()
				g := NewWithT(t)
				r := newStopHarness(t, c.runTime)
				for range c.history {
					resp, _, err := r.callUntil(path, 5*time.Second)
					g.Expect(err).NotTo(HaveOccurred())
					g.Expect(resp.StatusCode).To(Equal(http.StatusOK))
				}
				ended := r.stop()
				time.Sleep(c.after)
				resp, body, err := r.callUntil(path, c.deadline)
				g.Expect(err).NotTo(HaveOccurred(), "each request has an answer")
				g.Expect(resp.StatusCode).To(Equal(c.status), body)
				if c.status == http.StatusServiceUnavailable {
					g.Expect(body).To(And(ContainSubstring("stopping"), ContainSubstring(`"outcome":"not-run"`)))
					g.Expect(r.requests()).To(HaveLen(c.history), "the request isn't passed on")
				}
				<-ended
			})
		}
	}
}

// Guards against an upload that began before the stop, and whose request is passed on late in the grace and
// cut at its end.
func TestLateUploadIsNotPassedOnByAStoppingRouter(t *testing.T) {
	g := NewWithT(t)
	r := newStopHarness(t, 700*time.Millisecond)
	for range 2 {
		_, _, err := r.callUntil("/unsafe/x", 5*time.Second)
		g.Expect(err).NotTo(HaveOccurred())
	}
	c := r.dial()
	_, _ = io.WriteString(c, "POST /unsafe/x HTTP/1.1\r\nHost: h\r\nX-Id: id1\r\nX-Left: 5000\r\nX-Key: k1\r\nContent-Length: 5\r\n\r\nhel")
	time.Sleep(100 * time.Millisecond)
	ended := r.stop()
	time.Sleep(1100 * time.Millisecond)
	_, _ = io.WriteString(c, "lo")
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
	resp, err := http.ReadResponse(c.reader, nil)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(resp.StatusCode).To(Equal(http.StatusServiceUnavailable))
	g.Expect(r.requests()).To(HaveLen(2))
	<-ended
}

// Guards against an upload that hasn't ended at the end of the grace, and whose connection is closed without
// an answer.
func TestUploadThatOutlastsTheGraceHasAnAnswer(t *testing.T) {
	g := NewWithT(t)
	r := newStopHarness(t, 20*time.Millisecond)
	c := r.dial()
	_, _ = io.WriteString(c, "POST /unsafe/x HTTP/1.1\r\nHost: h\r\nX-Id: id1\r\nX-Left: 9000\r\nX-Key: k1\r\nContent-Length: 5\r\n\r\nhel")
	time.Sleep(100 * time.Millisecond)
	ended := r.stop()
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
	resp, err := http.ReadResponse(c.reader, nil)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(resp.StatusCode).To(Equal(http.StatusServiceUnavailable))
	body, err := io.ReadAll(resp.Body)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(body)).To(ContainSubstring(`"outcome":"not-run"`))
	<-ended
}

// Guards against a deadline for the body that outlives the body and ends the request as if its caller had left.
func TestStopDoesNotCutRequestsWhoseBodyHasArrived(t *testing.T) {
	g := NewWithT(t)
	const requests, runTime = 40, 800 * time.Millisecond
	r := newStopHarness(t, runTime)
	_, _, err := r.callUntil("/unsafe/x", 5*time.Second)
	g.Expect(err).NotTo(HaveOccurred())
	ended := r.stop()
	statuses := make(chan int, requests)
	for i := range requests {
		go func() {
			time.Sleep(time.Duration(i) * 5 * time.Millisecond)
			resp, _, err := r.callUntil("/unsafe/x", 5*time.Second)
			if err != nil {
				statuses <- 0
				return
			}
			statuses <- resp.StatusCode
		}()
	}
	for range requests {
		g.Expect(<-statuses).To(Equal(http.StatusOK))
	}
	<-ended
}

// Guards against a request that waits for an upstream until late in the grace, is passed on then, and cut
// at its end.
func TestRequestThatIsPlacedLateIsNotPassedOnByAStoppingRouter(t *testing.T) {
	g := NewWithT(t)
	r := newStopHarness(t, 700*time.Millisecond)
	for range 2 {
		_, _, err := r.callUntil("/unsafe/x", 5*time.Second)
		g.Expect(err).NotTo(HaveOccurred())
	}
	placed := make(chan struct{})
	r.placer.waitToPlace = func(ctx context.Context) error {
		select {
		case <-placed:
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	type result struct {
		status int
		after  time.Duration
	}
	results := make(chan result, 1)
	started := time.Now()
	go func() {
		resp, _, err := r.callUntil("/unsafe/x", 5*time.Second)
		if err != nil {
			results <- result{}
			return
		}
		results <- result{resp.StatusCode, time.Since(started)}
	}()
	time.Sleep(100 * time.Millisecond)
	ended := r.stop()
	time.AfterFunc(1100*time.Millisecond, func() { close(placed) })
	got := <-results
	g.Expect(got.status).To(Equal(http.StatusServiceUnavailable))
	g.Expect(got.after).To(BeNumerically("<", 1100*time.Millisecond), "refused as soon as it can't end in the grace")
	g.Expect(r.requests()).To(HaveLen(2))
	<-ended
}
