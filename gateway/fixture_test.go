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
	"github.com/aspenswitch/aspenswitch/retry"
	"github.com/aspenswitch/aspenswitch/routing"
	"github.com/aspenswitch/aspenswitch/upstream"
)

// names of the headers in these tests: any will do.
var names = gateway.HeaderNames{
	RequestID: "X-Id", Deadline: "X-Left", Upstream: "X-Upstream", Team: "X-Team", APIKey: "X-Key",
	Seal: "X-Seal", NotRun: "X-Not-Run", Leaving: "X-Leaving", Tokens: "X-Tokens", Parts: "X-Parts", LengthHint: "X-Hint",
	Load: "X-Load", CopyFrom: "X-Copy", Private: []string{"X-Secret"},
}

// rig is a gateway on loopback before scripted upstreams.
type rig struct {
	t      testing.TB
	state  *state
	placer *placer
	server *gateway.Server
	addr   string
	// got are the requests that upstreams read, by upstream.
	mu  sync.Mutex
	got []seenRequest
	log logText
}

// logText is a log that a test reads.
type logText struct {
	mu  sync.Mutex
	buf strings.Builder
}

func (l *logText) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.Write(b)
}

func (l *logText) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.String()
}

type seenRequest struct {
	upstream string
	header   http.Header
	uri      string
	body     string
}

// script answers one request on a connection; it returns false to end it.
type script func(req *http.Request, w io.Writer) bool

func newRig(t testing.TB, scripts map[string]script) *rig {
	t.Helper()
	return newRigOf(t, scripts, func(*gateway.Config) {})
}

// newRigOf is a rig whose configuration a test changes.
func newRigOf(t testing.TB, scripts map[string]script, shape func(*gateway.Config)) *rig {
	t.Helper()
	r := &rig{t: t, state: &state{}, placer: &placer{}}
	r.state.fresh.Store(true)
	reg := registry.New()
	for _, id := range []string{"u1", "u2", "u3"} {
		if s := scripts[id]; s != nil {
			reg.Put(0, registry.Upstream{ID: id, Service: "llm", Address: r.upstream(id, s), Revision: 1})
			r.placer.next = append(r.placer.next, id)
		}
	}
	r.publish(reg.View(), "k1")
	cfg := gateway.DefaultConfig()
	cfg.Headers = names
	cfg.ShutdownDelay, cfg.ForwardPeriod = 300*time.Millisecond, 100*time.Millisecond
	shape(&cfg)
	metrics := obs.NewMetrics("test")
	t.Cleanup(func() { _ = metrics.Close() })
	budget := retry.Budget{Ratio: 0.2, Allowance: 50, Window: 10 * time.Second}
	r.server = gateway.New(cfg, r.state, r.placer, upstream.NewPool(upstream.DefaultPoolConfig()), budget, obs.NewLimitedLogger(zerolog.New(&r.log), 10), metrics)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	r.addr = l.Addr().String()
	served := make(chan struct{})
	go func() {
		defer close(served)
		_ = r.server.Serve(l)
	}()
	t.Cleanup(func() {
		r.server.Close()
		_ = l.Close()
		<-served
	})
	return r
}

func (r *rig) publish(view *registry.View, keys ...string) {
	route := func(name string, kind routing.Kind, attempts int, resumable bool) routing.Route {
		return routing.Route{
			Name: name, Host: "h", Prefix: "/" + name + "/", Kind: kind, MaxAttempts: attempts, Resumable: resumable,
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

// teams are schools with the first key, and one for each other key.
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

// upstream listens and answers by a script.
func (r *rig) upstream(id string, s script) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	NewWithT(r.t).Expect(err).NotTo(HaveOccurred())
	r.t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go r.answer(id, c, s)
		}
	}()
	return l.Addr().String()
}

func (r *rig) answer(id string, c net.Conn, s script) {
	defer func() { _ = c.Close() }()
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
		r.got = append(r.got, seenRequest{upstream: id, header: req.Header, uri: req.RequestURI, body: string(body)})
		r.mu.Unlock()
		if !s(req, c) {
			return
		}
	}
}

func (r *rig) runs() []seenRequest {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]seenRequest(nil), r.got...)
}

// call sends a request with a good key.
func (r *rig) call(path string, edit func(*http.Request)) (*http.Response, string, error) {
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

// ok answers with a sealed body.
func ok(body string) script {
	return func(req *http.Request, w io.Writer) bool {
		_, err := fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Seal: s\r\nContent-Length: %d\r\n\r\n%s", req.Header.Get("X-Id"), len(body), body)
		return err == nil
	}
}

// status answers with a status and headers.
func status(code int, headers string) script {
	return func(req *http.Request, w io.Writer) bool {
		_, err := fmt.Fprintf(w, "HTTP/1.1 %d X\r\nX-Id: %s\r\n%sContent-Length: 0\r\n\r\n", code, req.Header.Get("X-Id"), headers)
		return err == nil
	}
}

// drop reads the request and breaks off.
func drop(*http.Request, io.Writer) bool { return false }

// events streams whole events from first to last, and cut after them.
func events(first, last int, cut string, end bool) script {
	return func(req *http.Request, w io.Writer) bool {
		var b strings.Builder
		fmt.Fprintf(&b, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Seal: s%d\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", req.Header.Get("X-Id"), first)
		for i := first; i <= last; i++ {
			chunk(&b, fmt.Sprintf("id: %d\ndata: %d\n\n", i, i))
		}
		if cut != "" {
			chunk(&b, cut)
		}
		if end {
			b.WriteString("0\r\n\r\n")
		}
		_, err := io.WriteString(w, b.String())
		return err == nil && end
	}
}

func chunk(b *strings.Builder, s string) { fmt.Fprintf(b, "%x\r\n%s\r\n", len(s), s) }
