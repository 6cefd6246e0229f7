package gateway_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/aspenswitch/aspenswitch/feed"
	"github.com/aspenswitch/aspenswitch/routing"
)

// publishLimits replaces the limits on callers in the configuration.
func (r *harness) publishLimits(limits routing.Limits) {
	current := r.state.Snapshot()
	changed := *current.Table.Config
	changed.Version++
	changed.Limits = limits
	r.state.set(&feed.Snapshot{View: current.View, Table: routing.NewTable(&changed)})
}

// publishTimeout replaces the timeout of all routes.
func (r *harness) publishTimeout(timeout time.Duration) {
	current := r.state.Snapshot()
	changed := *current.Table.Config
	changed.Version++
	changed.Routes = slices.Clone(changed.Routes)
	for i := range changed.Routes {
		changed.Routes[i].Timeout = timeout
	}
	r.state.set(&feed.Snapshot{View: current.View, Table: routing.NewTable(&changed)})
}

// callerConn is a caller's connection on which requests are sent one after the other.
type callerConn struct {
	net.Conn
	reader *bufio.Reader
}

func (r *harness) dial() *callerConn {
	r.t.Helper()
	c, err := net.Dial("tcp", r.addr)
	NewWithT(r.t).Expect(err).NotTo(HaveOccurred())
	r.t.Cleanup(func() { _ = c.Close() })
	return &callerConn{Conn: c, reader: bufio.NewReader(c)}
}

// get sends a request with a header field of the given size. The response is nil if the connection
// ended without one.
func (c *callerConn) get(path string, padding int) *http.Response {
	_, _ = fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: h\r\nX-Id: id1\r\nX-Left: 1500\r\nX-Key: k1\r\nX-Padding: %s\r\n\r\n", path, strings.Repeat("p", padding))
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return nil
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp
}

// openFor returns how long the router keeps an idle connection open, at most limit.
func (c *callerConn) openFor(limit time.Duration) time.Duration {
	start := time.Now()
	_ = c.SetReadDeadline(start.Add(limit))
	_, _ = c.reader.ReadByte()
	return time.Since(start)
}

// Guards against limits on callers' headers and idle time that stay those of the first configuration.
func TestChangedLimitsOnCallersApplyToNewConnections(t *testing.T) {
	g := NewWithT(t)
	r := newHarness(t, map[string]script{"u1": ok("ran")})
	const padding = 6 << 10
	const idle = 400 * time.Millisecond
	g.Expect(r.dial().get("/safe/1", padding).StatusCode).To(Equal(http.StatusOK))

	r.publishLimits(routing.Limits{MaxBodyBytes: 1 << 20, MaxHeaderBytes: 1 << 10, IdleTimeout: idle, HeaderTimeout: idle})
	c := r.dial()
	g.Expect(c.get("/safe/1", padding).StatusCode).To(Equal(http.StatusRequestHeaderFieldsTooLarge))
	c = r.dial()
	g.Expect(c.get("/safe/1", 10).StatusCode).To(Equal(http.StatusOK))
	g.Expect(c.openFor(5 * time.Second)).To(BeNumerically("<", 2*time.Second))
	c = r.dial()
	_, _ = io.WriteString(c, "GET /safe/1 HTTP/1.1\r\nHost: h\r\n")
	g.Expect(c.openFor(5 * time.Second)).To(BeNumerically("<", 2*time.Second))

	r.publishLimits(routing.Limits{MaxBodyBytes: 1 << 20, MaxHeaderBytes: 32 << 10, IdleTimeout: time.Minute, HeaderTimeout: idle})
	c = r.dial()
	g.Expect(c.get("/safe/1", 4*padding).StatusCode).To(Equal(http.StatusOK))
	g.Expect(c.openFor(3 * idle)).To(BeNumerically(">=", 3*idle))
}

// Guards against connections that keep the limits that were in force when they were opened.
func TestConnectionsWithFormerLimitsAreClosedWithTheNextResponse(t *testing.T) {
	g := NewWithT(t)
	r := newHarness(t, map[string]script{"u1": ok("ran")})
	c := r.dial()
	g.Expect(c.get("/safe/1", 1).Close).To(BeFalse())
	r.publishLimits(routing.Limits{MaxBodyBytes: 2 << 20})
	g.Expect(c.get("/safe/1", 1).Close).To(BeFalse(), "other limits don't concern connections")
	r.publishLimits(routing.Limits{MaxBodyBytes: 2 << 20, MaxHeaderBytes: 2 << 10})
	resp := c.get("/safe/1", 1)
	g.Expect(resp.StatusCode).To(Equal(http.StatusOK))
	g.Expect(resp.Close).To(BeTrue())
	g.Expect(r.dial().get("/safe/1", 1).Close).To(BeFalse())
}

// Guards against a shutdown that cuts off requests on connections with former or present limits, or that
// leaves a listener open.
func TestShutdownAfterChangedLimits(t *testing.T) {
	g := NewWithT(t)
	release := make(chan struct{})
	arrived := make(chan struct{}, 2)
	r := newHarness(t, map[string]script{"u1": func(req *http.Request, w io.Writer) bool {
		if strings.HasSuffix(req.RequestURI, "/slow") {
			arrived <- struct{}{}
			<-release
		}
		return ok("ran")(req, w)
	}})
	responses := make(chan *http.Response, 2)
	for n := range 2 {
		if n == 1 {
			r.publishLimits(routing.Limits{MaxHeaderBytes: 2 << 10})
		}
		c := r.dial()
		go func() { responses <- c.get("/safe/slow", 1) }()
		g.Eventually(arrived).Should(Receive())
	}
	stopped := make(chan error, 1)
	go func() { stopped <- r.server.Shutdown(context.Background()) }()
	g.Eventually(func() error {
		c, err := net.Dial("tcp", r.addr)
		if err == nil {
			_ = c.Close()
		}
		return err
	}, 3*time.Second).Should(HaveOccurred())
	g.Expect(stopped).NotTo(Receive())
	close(release)
	for range 2 {
		var resp *http.Response
		g.Eventually(responses, 3*time.Second).Should(Receive(&resp))
		g.Expect(resp).NotTo(BeNil())
		g.Expect(resp.StatusCode).To(Equal(http.StatusOK))
	}
	g.Eventually(stopped, 3*time.Second).Should(Receive(BeNil()))
}
