package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/aspenswitch/aspenswitch/feed"
	"github.com/aspenswitch/aspenswitch/gateway"
	"github.com/aspenswitch/aspenswitch/obs"
	"github.com/aspenswitch/aspenswitch/registry"
	"github.com/aspenswitch/aspenswitch/resumption"
	"github.com/aspenswitch/aspenswitch/retry"
	"github.com/aspenswitch/aspenswitch/routing"
	"github.com/aspenswitch/aspenswitch/upstream"
)

// names are arbitrary header names for these tests.
var names = gateway.HeaderNames{
	RequestID: "X-Id", Deadline: "X-Left", Upstream: "X-Upstream", Team: "X-Team", APIKey: "X-Key",
	Seal: "X-Seal", NotRun: "X-Not-Run", Leaving: "X-Leaving", Tokens: "X-Tokens", Parts: "X-Parts", LengthHint: "X-Hint",
	Load: "X-Load", Resumes: "X-Resumes", CopyFrom: "X-Copy", Private: []string{"X-Secret"},
}

// harness runs a gateway on loopback in front of scripted upstreams.
type harness struct {
	t      testing.TB
	state  *fakeState
	placer *fakePlacer
	server *gateway.Server
	addr   string
	// mu guards received, the requests that the upstreams have read, and conns.
	mu       sync.Mutex
	received []receivedRequest
	// conns is the number of connections to upstreams.
	conns    int
	logs     logBuffer
	registry *registry.Registry
}

// setVersion publishes another software version of an upstream.
func (r *harness) setVersion(id, version string) {
	u, _ := r.registry.Get(id)
	u.Version, u.Revision = version, u.Revision+1
	r.registry.Put(0, u)
	r.publish(r.registry.View(), "k1")
}

// logBuffer is a log writer that is safe for concurrent use.
type logBuffer struct {
	mu  sync.Mutex
	buf strings.Builder
}

func (l *logBuffer) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.Write(b)
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.String()
}

type receivedRequest struct {
	upstream string
	header   http.Header
	uri      string
	body     string
}

// script responds to one request on a connection; it returns false to close the connection.
type script func(req *http.Request, w io.Writer) bool

func newHarness(t testing.TB, scripts map[string]script) *harness {
	t.Helper()
	return newHarnessWith(t, scripts, func(*gateway.Config) {})
}

// newHarnessWith returns a harness whose configuration is changed by configure.
func newHarnessWith(t testing.TB, scripts map[string]script, configure func(*gateway.Config)) *harness {
	t.Helper()
	r := &harness{t: t, state: &fakeState{}, placer: &fakePlacer{streams: resumption.NewTable()}}
	r.state.fresh.Store(true)
	reg := registry.New()
	r.registry = reg
	for _, id := range []string{"u1", "u2", "u3"} {
		if s := scripts[id]; s != nil {
			reg.Put(0, registry.Upstream{ID: id, Service: "llm", Address: r.startUpstream(id, s), Version: "v1", Revision: 1})
			r.placer.upstreams = append(r.placer.upstreams, id)
		}
	}
	r.publish(reg.View(), "k1")
	cfg := gateway.DefaultConfig()
	cfg.Headers = names
	cfg.ShutdownDelay, cfg.ForwardPeriod = 300*time.Millisecond, 100*time.Millisecond
	configure(&cfg)
	metrics := obs.NewMetrics("test")
	t.Cleanup(func() { _ = metrics.Close() })
	budget := retry.Budget{Ratio: 0.2, Allowance: 50, Window: 10 * time.Second}
	r.server = gateway.New(cfg, r.state, r.placer, upstream.NewPool(upstream.DefaultPoolConfig()), budget, obs.NewLimitedLogger(zerolog.New(&r.logs), 10), metrics)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	r.addr = l.Addr().String()
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = r.server.Serve(l)
	}()
	t.Cleanup(func() {
		r.server.Close()
		_ = l.Close()
		<-done
	})
	return r
}

func (r *harness) publish(view *registry.View, keys ...string) {
	route := func(name string, kind routing.Kind, attempts int, resumable bool) routing.Route {
		return routing.Route{
			Name: name, Host: "h", Prefix: "/" + name + "/", Kind: kind, MaxAttempts: attempts, Resumable: resumable, Sticky: kind == routing.Streaming,
			Timeout: 2 * time.Second, Target: time.Second, Split: []routing.Share{{Service: "llm", Weight: 1}},
		}
	}
	r.state.set(&feed.Snapshot{View: view, Table: routing.NewTable(&routing.Config{
		Version: 1,
		Routes: []routing.Route{
			route("safe", routing.Safe, 2, false), route("unsafe", routing.Unsafe, 2, false),
			route("stream", routing.Streaming, 1, false), route("resume", routing.Streaming, 2, true),
		},
		Teams:  teams(keys),
		Limits: routing.Limits{MaxBodyBytes: 1 << 20},
	})})
}

// teams returns the team "schools" with the first key, and one team for each other key.
func teams(keys []string) []routing.Team {
	all := []routing.Team{{Name: "schools"}}
	for i, k := range keys {
		if i == 0 {
			all[0].Keys = []string{k}
			continue
		}
		all = append(all, routing.Team{Name: "team " + k, Keys: []string{k}})
	}
	return all
}

// startUpstream starts an upstream that runs the script, and returns its address.
func (r *harness) startUpstream(id string, s script) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	NewWithT(r.t).Expect(err).NotTo(HaveOccurred())
	r.t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go r.handleConn(id, c, s)
		}
	}()
	return l.Addr().String()
}

func (r *harness) handleConn(id string, c net.Conn, s script) {
	defer func() { _ = c.Close() }()
	r.mu.Lock()
	r.conns++
	r.mu.Unlock()
	br := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		r.mu.Lock()
		r.received = append(r.received, receivedRequest{upstream: id, header: req.Header, uri: req.RequestURI, body: string(body)})
		r.mu.Unlock()
		if !s(req, c) {
			return
		}
	}
}

func (r *harness) requests() []receivedRequest {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]receivedRequest(nil), r.received...)
}

// call sends a request with a valid key.
func (r *harness) call(path string, edit func(*http.Request)) (*http.Response, string, error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+r.addr+path, strings.NewReader("hello"))
	if err != nil {
		return nil, "", err
	}
	req.Host = "h"
	req.Header.Set(names.RequestID, "id1")
	req.Header.Set(names.Deadline, "1500")
	req.Header.Set(names.APIKey, "k1")
	if edit != nil {
		edit(req)
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 10 * time.Second}
	resp, err := client.Do(req)
	if err != nil {
		return nil, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return resp, string(body), err
}

// ok responds with status 200, the seal and the body.
func ok(body string) script {
	return func(req *http.Request, w io.Writer) bool {
		_, err := fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Seal: s\r\nContent-Length: %d\r\n\r\n%s", req.Header.Get("X-Id"), len(body), body)
		return err == nil
	}
}

// status responds with a status and headers.
func status(code int, headers string) script {
	return func(req *http.Request, w io.Writer) bool {
		_, err := fmt.Fprintf(w, "HTTP/1.1 %d X\r\nX-Id: %s\r\n%sContent-Length: 0\r\n\r\n", code, req.Header.Get("X-Id"), headers)
		return err == nil
	}
}

// closeConn closes the connection without a response.
func closeConn(*http.Request, io.Writer) bool { return false }

// events streams the complete events from first to last, followed by partial. Unless end is
// set, the connection is closed before the end of the stream.
func events(first, last int, partial string, end bool) script {
	return func(req *http.Request, w io.Writer) bool {
		var b strings.Builder
		fmt.Fprintf(&b, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Seal: s%d\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", req.Header.Get("X-Id"), first)
		for i := first; i <= last; i++ {
			chunk(&b, fmt.Sprintf("id: %d\ndata: %d\n\n", i, i))
		}
		if partial != "" {
			chunk(&b, partial)
		}
		if end {
			b.WriteString("0\r\n\r\n")
		}
		_, err := io.WriteString(w, b.String())
		return err == nil && end
	}
}

func chunk(b *strings.Builder, s string) { fmt.Fprintf(b, "%x\r\n%s\r\n", len(s), s) }
