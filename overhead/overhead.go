package overhead

import (
	"bufio"
	"bytes"
	"context"
	"crypto/ed25519"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rs/zerolog"
	"github.com/zeebo/errs"

	"github.com/aspenswitch/aspenswitch/bundle"
	"github.com/aspenswitch/aspenswitch/daemon"
	"github.com/aspenswitch/aspenswitch/settings"
	"github.com/aspenswitch/aspenswitch/standin"
)

// Error is the class of this package's errors.
var Error = errs.Class("overhead")

// Config is the size of a measurement.
type Config struct {
	// Streams are sent by Callers at once, each of Tokens events.
	Streams, Callers, Tokens int
}

// PathStats is what one way to the engine took.
type PathStats struct {
	Name                         string
	FirstEventP50, FirstEventP99 time.Duration
	TotalP50, TotalP99           time.Duration
	// CPU is the process's processor time, callers and engine included.
	CPU time.Duration
	// Allocs counts allocations of the process.
	Allocs uint64
}

// Result is both ways and what the router adds.
type Result struct {
	Config                      Config
	Direct, ViaRouter           PathStats
	CPUPerStream                time.Duration
	CPUPerEvent                 time.Duration
	GoroutinesBefore            int
	GoroutinesAfter             int
	HeapBeforeMiB, HeapAfterMiB float64
}

// world is an engine, a platform and a router in this process.
type world struct {
	engine, router string
	stop           func()
}

const teamKey = "overhead"

func newWorld(slots int) (*world, error) {
	engine := standin.NewEngine(standin.EngineConfig{Slots: slots, CachedPrompts: 1})
	engineAddr, stopEngine := serve(engine.Handler())
	b := bundle.Bundle{
		Version:   1,
		Teams:     []bundle.Team{{ID: 1, Name: "t", Share: 1, Keys: []string{bundle.HashKey(teamKey)}}},
		Pools:     []bundle.Pool{{ID: 1, Name: "p", Models: []string{"m"}}},
		Upstreams: []bundle.Upstream{{ID: 1, Name: "u", Kind: bundle.Engine, Pool: "p", Address: engineAddr, Slots: slots}},
	}
	text, err := json.Marshal(b)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	signed := &bundle.Signed{Bundle: string(text)}
	s := settings.Default()
	for _, name := range []string{"anna", "bert"} {
		public, private, err := ed25519.GenerateKey(nil)
		if err != nil {
			return nil, Error.Wrap(err)
		}
		s.Operators = append(s.Operators, bundle.Operator{Name: name, PublicKey: public})
		signed.Sign(name, private)
	}
	raw, err := json.Marshal(signed)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	platform := standin.NewPlatform()
	platform.Publish(raw)
	platform.SetVMs([]byte(`[{"name":"vm1","failureDomain":"a","address":"127.0.0.1:1"}]`))
	platformAddr, stopPlatform := serve(platform.Handler())
	local := settings.Listener{Listen: "127.0.0.1:0"}
	s.Name, s.FailureDomain = "vm1", "a"
	s.Callers, s.Peers, s.Admin.Listener = local, local, local
	s.Platform.URL = "http://" + platformAddr
	d, err := daemon.New(s, zerolog.Nop(), nil)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = d.Run(ctx)
	}()
	w := &world{engine: "http://" + engineAddr, router: "http://" + d.Addresses().Callers, stop: func() {
		cancel()
		<-done
		stopPlatform()
		stopEngine()
	}}
	return w, w.await()
}

func serve(h http.Handler) (string, func()) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	s := &http.Server{Handler: h}
	go func() { _ = s.Serve(l) }()
	return l.Addr().String(), func() { _ = s.Close() }
}

// readyWithin is how long the router may take to be ready.
const readyWithin = 10 * time.Second

func (w *world) await() error {
	for end := time.Now().Add(readyWithin); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		resp, err := http.Get(w.router + "/readyz")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return Error.New("the router did not become ready")
}

// Measure runs both ways, the direct one first.
func Measure(c Config) (*Result, error) {
	w, err := newWorld(2 * c.Callers)
	if err != nil {
		return nil, err
	}
	defer w.stop()
	r := &Result{Config: c}
	warm := Config{Streams: c.Callers * 20, Callers: c.Callers, Tokens: c.Tokens}
	for _, base := range []string{w.engine, w.router} {
		if _, err := run(base, warm); err != nil {
			return nil, err
		}
	}
	if r.Direct, err = run(w.engine, c); err != nil {
		return nil, err
	}
	r.GoroutinesBefore, r.HeapBeforeMiB = resources()
	if r.ViaRouter, err = run(w.router, c); err != nil {
		return nil, err
	}
	r.GoroutinesAfter, r.HeapAfterMiB = resources()
	added := max(r.ViaRouter.CPU-r.Direct.CPU, 0)
	r.CPUPerStream = added / time.Duration(c.Streams)
	r.CPUPerEvent = added / time.Duration(c.Streams*c.Tokens)
	return r, nil
}

const settleTime = 6 * time.Second

func resources() (goroutines int, heapMB float64) {
	http.DefaultClient.CloseIdleConnections()
	// The stand-in engine forgets finished streams after five seconds.
	time.Sleep(settleTime)
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return runtime.NumGoroutine(), float64(m.HeapAlloc) / (1 << 20)
}

// run sends the streams to one base URL.
func run(base string, c Config) (PathStats, error) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: c.Callers}}
	defer client.CloseIdleConnections()
	var mu sync.Mutex
	var firsts, wholes []time.Duration
	var failed error
	var wg sync.WaitGroup
	before, allocs := processorTime(), mallocs()
	for range c.Callers {
		wg.Go(func() {
			for range c.Streams / c.Callers {
				first, whole, err := stream(client, base, c.Tokens)
				mu.Lock()
				firsts, wholes = append(firsts, first), append(wholes, whole)
				if err != nil {
					failed = err
				}
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	p := PathStats{Name: base, CPU: processorTime() - before, Allocs: mallocs() - allocs}
	p.FirstEventP50, p.FirstEventP99 = quantile(firsts, 0.5), quantile(firsts, 0.99)
	p.TotalP50, p.TotalP99 = quantile(wholes, 0.5), quantile(wholes, 0.99)
	return p, failed
}

func mallocs() uint64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.Mallocs
}

func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func quantile(d []time.Duration, q float64) time.Duration {
	slices.Sort(d)
	return d[min(int(q*float64(len(d))), len(d)-1)]
}

// stream sends one request and reads its events to the last.
func stream(client *http.Client, base string, tokens int) (first, whole time.Duration, err error) {
	body := fmt.Sprintf(`{"model":"m","prompt":"overhead","max_tokens":%d,"stream":true}`, tokens)
	req, err := http.NewRequest(http.MethodPost, base+"/v1/completions", strings.NewReader(body))
	if err != nil {
		return 0, 0, Error.Wrap(err)
	}
	req.Header.Set("Authorization", "Bearer "+teamKey)
	began := time.Now()
	resp, err := client.Do(req)
	if err != nil {
		return 0, 0, Error.Wrap(err)
	}
	defer func() { _ = resp.Body.Close() }()
	in := bufio.NewReader(resp.Body)
	line, err := in.ReadBytes('\n')
	first = time.Since(began)
	for err == nil && !bytes.Contains(line, []byte("[DONE]")) {
		line, err = in.ReadBytes('\n')
	}
	if err != nil {
		return 0, 0, Error.New("stream ended early: %v", err)
	}
	_, _ = io.Copy(io.Discard, in)
	return first, time.Since(began), nil
}

// Print writes the result as text.
func (r *Result) Print(out io.Writer) {
	fmt.Fprintf(out, "%d streams of %d events, %d at once\n", r.Config.Streams, r.Config.Tokens, r.Config.Callers)
	for _, p := range []PathStats{r.Direct, r.ViaRouter} {
		fmt.Fprintf(out, "%-24s first event p50 %v p99 %v, whole p50 %v p99 %v, processor %v, allocations %d\n",
			p.Name, p.FirstEventP50, p.FirstEventP99, p.TotalP50, p.TotalP99, p.CPU.Round(time.Millisecond), p.Allocs)
	}
	fmt.Fprintf(out, "the router adds: first event p50 %v p99 %v, whole p50 %v p99 %v, processor %v a stream, %v an event, %d allocations a stream\n",
		r.ViaRouter.FirstEventP50-r.Direct.FirstEventP50, r.ViaRouter.FirstEventP99-r.Direct.FirstEventP99,
		r.ViaRouter.TotalP50-r.Direct.TotalP50, r.ViaRouter.TotalP99-r.Direct.TotalP99,
		r.CPUPerStream, r.CPUPerEvent, (r.ViaRouter.Allocs-r.Direct.Allocs)/uint64(r.Config.Streams))
	fmt.Fprintf(out, "goroutines %d before, %d after; heap %.1f MB before, %.1f MB after\n",
		r.GoroutinesBefore, r.GoroutinesAfter, r.HeapBeforeMiB, r.HeapAfterMiB)
}
