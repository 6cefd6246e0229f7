package daemon_test

import (
	"bytes"
	"context"
	"crypto/ed25519"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/aspenswitch/aspenswitch/bundle"
	"github.com/aspenswitch/aspenswitch/daemon"
	"github.com/aspenswitch/aspenswitch/jsonc"
	"github.com/aspenswitch/aspenswitch/membership"
	"github.com/aspenswitch/aspenswitch/router"
	"github.com/aspenswitch/aspenswitch/settings"
	"github.com/aspenswitch/aspenswitch/standin"
)

// eventuallyTimeout is how long tests wait for a condition.
const eventuallyTimeout = 10 * time.Second

// fleet is a platform, upstreams and routers that run in the test process, on loopback.
type fleet struct {
	platform  *standin.Platform
	server    *httptest.Server
	operators []bundle.Operator
	keys      map[string]ed25519.PrivateKey
	bundle    bundle.Bundle
	routers   []*member
	// tuneConfig adjusts what settings can't change; changeSettings adjusts the settings.
	tuneConfig     func(*router.Config)
	changeSettings func(*settings.Settings)
	// address returns the peer address to publish for a router, its own by default.
	address func(string, daemon.Addresses) string
}

// member is a router of the fleet.
type member struct {
	name   string
	daemon *daemon.Daemon
	cancel context.CancelFunc
	done   chan struct{}
	url    string
	log    *syncBuffer
}

// syncBuffer is a log buffer that is safe for concurrent reads and writes.
type syncBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (s *syncBuffer) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.Write(p)
}

func (s *syncBuffer) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.String()
}

func newFleet() *fleet {
	f := &fleet{platform: standin.NewPlatform(), keys: map[string]ed25519.PrivateKey{}}
	f.server = httptest.NewServer(f.platform.Handler())
	DeferCleanup(func() {
		f.server.CloseClientConnections()
		f.server.Close()
	})
	for _, name := range []string{"anna", "bert"} {
		public, private, err := ed25519.GenerateKey(nil)
		Expect(err).NotTo(HaveOccurred())
		f.operators = append(f.operators, bundle.Operator{Name: name, PublicKey: public})
		f.keys[name] = private
	}
	f.address = func(_ string, a daemon.Addresses) string { return a.Peers }
	f.bundle = bundle.Bundle{
		Version: 1,
		Teams: []bundle.Team{
			{ID: 1, Name: "schools", Share: 2, Keys: []string{bundle.HashKey("schools-key")}},
			{ID: 2, Name: "vans", Share: 1, Keys: []string{bundle.HashKey("vans-key")}},
		},
		Pools: []bundle.Pool{
			{ID: 1, Name: "planning", Models: []string{"planner"}},
			{ID: 2, Name: "bookings", Service: "booking", Routes: []bundle.Route{
				{Method: "POST", Path: "/", Repeatable: true},
				{Method: "POST", Path: "/bookings", Repeatable: false},
			}},
		},
		Limits: bundle.Limits{BodyBytes: 4096},
	}
	return f
}

// addEngine adds a model engine to the bundle and returns it.
func (f *fleet) addEngine(cfg standin.EngineConfig, resumable bool) *standin.Engine {
	e := standin.NewEngine(cfg)
	f.addUpstream(bundle.Upstream{
		Kind: bundle.Engine, Pool: "planning", Resumable: resumable, Slots: cfg.Slots,
		Address: serve(e.Handler()),
	})
	return e
}

// addService adds a plain service to the bundle and returns it.
func (f *fleet) addService(processingTime time.Duration) *standin.Service {
	s := standin.NewService(processingTime)
	f.addUpstream(bundle.Upstream{Kind: bundle.Service, Pool: "bookings", Slots: 8, Address: serve(s.Handler())})
	return s
}

func (f *fleet) addUpstream(u bundle.Upstream) {
	u.ID = len(f.bundle.Upstreams) + 1
	u.Name = fmt.Sprintf("u%d", u.ID)
	f.bundle.Upstreams = append(f.bundle.Upstreams, u)
}

func serve(h http.Handler) string {
	s := httptest.NewServer(h)
	DeferCleanup(func() {
		s.CloseClientConnections()
		s.Close()
	})
	return strings.TrimPrefix(s.URL, "http://")
}

// signed returns the bundle signed by all operators, in the published format.
func (f *fleet) signed(b bundle.Bundle) []byte {
	text, err := json.Marshal(b)
	Expect(err).NotTo(HaveOccurred())
	s := &bundle.Signed{Bundle: string(text)}
	for name, key := range f.keys {
		s.Sign(name, key)
	}
	raw, err := json.Marshal(s)
	Expect(err).NotTo(HaveOccurred())
	return raw
}

func (f *fleet) publishBundle(b bundle.Bundle) { f.platform.Publish(f.signed(b)) }

// addRouter starts a router without waiting for it.
func (f *fleet) addRouter(name string) *member {
	s := settings.Default()
	local := settings.Listener{Listen: "127.0.0.1:0"}
	s.Name, s.FailureDomain, s.LogLevel = name, "a", "debug"
	s.Callers, s.Peers, s.Admin = local, local, settings.Admin{Listener: local, TokenHash: bundle.HashKey("token")}
	s.Platform.URL = f.server.URL
	s.Platform.PollEvery = jsonc.Duration(50 * time.Millisecond)
	s.Platform.ListLag = jsonc.Duration(100 * time.Millisecond)
	s.Platform.WatchersPerDomain = 2
	s.Operators = f.operators
	if f.changeSettings != nil {
		f.changeSettings(&s)
	}
	m := &member{name: name, done: make(chan struct{}), log: &syncBuffer{}}
	d, err := daemon.New(s, zerolog.New(m.log), func(c *router.Config) {
		// A short skew allows keys to be used at once; other tests cover the wait for clock
		// skew.
		c.Idempotency.MaxClockSkew = 50 * time.Millisecond
		c.WatchTimeout = time.Second
		if f.tuneConfig != nil {
			f.tuneConfig(c)
		}
	})
	Expect(err).NotTo(HaveOccurred())
	m.daemon, m.url = d, "http://"+d.Addresses().Callers
	var ctx context.Context
	ctx, m.cancel = context.WithCancel(context.Background())
	f.routers = append(f.routers, m)
	go func() {
		defer close(m.done)
		_ = d.Run(ctx)
	}()
	DeferCleanup(m.stop)
	return m
}

// stop ends a router without a graceful shutdown, like a crash.
func (m *member) stop() {
	m.cancel()
	<-m.done
}

// publishVMs publishes the VMs of the given routers.
func (f *fleet) publishVMs(members ...*member) {
	var list []membership.ListedVM
	for _, m := range members {
		list = append(list, membership.ListedVM{Name: m.name, FailureDomain: "a", Address: f.address(m.name, m.daemon.Addresses())})
	}
	raw, err := json.Marshal(list)
	Expect(err).NotTo(HaveOccurred())
	f.platform.SetVMs(raw)
}

// startRouters publishes the bundle, starts n routers, and waits until all are ready and list
// each other as live.
func (f *fleet) startRouters(n int) {
	f.publishBundle(f.bundle)
	for i := range n {
		f.addRouter(fmt.Sprintf("vm%d", i+1))
	}
	f.publishVMs(f.routers...)
	for _, m := range f.routers {
		f.awaitReady(m, n)
	}
}

// awaitReady waits until a router is ready and lists the given number of routers as live.
func (f *fleet) awaitReady(m *member, live int) {
	Eventually(func(g Gomega) {
		resp, err := http.Get(m.url + "/readyz")
		g.Expect(err).NotTo(HaveOccurred())
		_ = resp.Body.Close()
		g.Expect(resp.StatusCode).To(Equal(http.StatusOK))
		g.Expect(m.dump().Scheduler.Live).To(HaveLen(live))
	}, eventuallyTimeout, "20ms").Should(Succeed())
}

// dump reads the router's state from the operators' API.
func (m *member) dump() router.Dump {
	var d router.Dump
	raw := m.adminGet("/dump")
	Expect(json.Unmarshal(raw, &d)).To(Succeed())
	return d
}

func (m *member) adminGet(path string) []byte {
	req, err := http.NewRequest(http.MethodGet, "http://"+m.daemon.Addresses().Admin+path, nil)
	Expect(err).NotTo(HaveOccurred())
	req.Header.Set("Authorization", "Bearer token")
	resp, err := http.DefaultClient.Do(req)
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	Expect(err).NotTo(HaveOccurred())
	return raw
}

// answer is the response that a caller received, or the error.
type answer struct {
	status  int
	header  http.Header
	body    string
	err     error
	outcome string
}

// call sends a request to the router with a team's key.
func (m *member) call(method, path, key, body string, header map[string]string) answer {
	req, err := http.NewRequest(method, m.url+path, strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	req.Header.Set("Authorization", "Bearer "+key)
	for name, value := range header {
		req.Header.Set(name, value)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	return answer{
		status: resp.StatusCode, header: resp.Header, body: string(raw), err: err,
		outcome: resp.Header.Get("Aspenswitch-Outcome"),
	}
}

// postBooking sends a request that must not run twice.
func (m *member) postBooking(key string) answer {
	return m.call(http.MethodPost, "/services/booking/bookings", "vans-key", "a pitch", map[string]string{"Idempotency-Key": key})
}

// requestCompletion requests a completion. The body of the answer holds the events if stream is
// set, else a JSON object.
func (m *member) requestCompletion(prompt string, tokens int, stream bool) answer {
	body := fmt.Sprintf(`{"model":"planner","prompt":%q,"max_tokens":%d,"stream":%v}`, prompt, tokens, stream)
	return m.call(http.MethodPost, "/v1/completions", "schools-key", body, nil)
}

// text joins the tokens of a stream; complete is set if its final event was received.
func text(stream string) (text string, complete bool) {
	for line := range strings.SplitSeq(stream, "\n") {
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return text, true
		}
		var chunk struct {
			Choices []struct {
				Delta struct{ Content string } `json:"delta"`
			} `json:"choices"`
		}
		if json.Unmarshal([]byte(data), &chunk) == nil && len(chunk.Choices) > 0 {
			text += chunk.Choices[0].Delta.Content
		}
	}
	return text, false
}

// expectedText returns the output of an engine for a prompt.
func expectedText(prompt string, tokens int) string {
	quoted, err := json.Marshal(prompt)
	Expect(err).NotTo(HaveOccurred())
	var all strings.Builder
	for i := range tokens {
		all.WriteString(standin.OutputToken(quoted, i))
	}
	return all.String()
}
