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
	// Streams is the number of streams per path, sent by Callers concurrent callers.
	// Each stream has Tokens events.
	Streams, Callers, Tokens int
}

// PathStats holds the latencies and the resource usage of one path to the engine.
type PathStats struct {
	Name                         string
	FirstEventP50, FirstEventP99 time.Duration
	TotalP50, TotalP99           time.Duration
	// CPU is the CPU time of the process, which includes callers and engine.
	CPU time.Duration
	// Allocs is the number of heap allocations of the process.
	Allocs uint64
}

// Result holds the measurements of both paths and the CPU time that the router adds.
type Result struct {
	Config            Config
	Direct, ViaRouter PathStats
	CPUPerStream      time.Duration
	CPUPerEvent       time.Duration
	// Goroutines and heap are sampled before and after the streams through the router.
	GoroutinesBefore            int
	GoroutinesAfter             int
	HeapBeforeMiB, HeapAfterMiB float64
}

// testbed runs a stand-in engine, a stand-in platform and a router in this process.
type testbed struct {
	// engine and router are base URLs.
	engine, router string
	stop           func()
}

const teamKey = "overhead"

func newTestbed(slots int) (*testbed, error) {
	engine := standin.NewEngine(standin.EngineConfig{Slots: slots, CachedPrefixes: 1})
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
	tb := &testbed{engine: "http://" + engineAddr, router: "http://" + d.Addresses().Callers, stop: func() {
		cancel()
		<-done
		stopPlatform()
		stopEngine()
	}}
	return tb, tb.waitReady()
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

// readyTimeout is how long the router may take to become ready.
const readyTimeout = 10 * time.Second

func (tb *testbed) waitReady() error {
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		resp, err := http.Get(tb.router + "/readyz")
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

// Measure warms up both paths and then measures them, the direct one first.
func Measure(c Config) (*Result, error) {
	tb, err := newTestbed(2 * c.Callers)
	if err != nil {
		return nil, err
	}
	defer tb.stop()
	r := &Result{Config: c}
	warmup := Config{Streams: c.Callers * 20, Callers: c.Callers, Tokens: c.Tokens}
	for _, base := range []string{tb.engine, tb.router} {
		if _, err := sendStreams(base, warmup); err != nil {
			return nil, err
		}
	}
	if r.Direct, err = sendStreams(tb.engine, c); err != nil {
		return nil, err
	}
	r.GoroutinesBefore, r.HeapBeforeMiB = resourceUsage()
	if r.ViaRouter, err = sendStreams(tb.router, c); err != nil {
		return nil, err
	}
	r.GoroutinesAfter, r.HeapAfterMiB = resourceUsage()
	added := max(r.ViaRouter.CPU-r.Direct.CPU, 0)
	r.CPUPerStream = added / time.Duration(c.Streams)
	r.CPUPerEvent = added / time.Duration(c.Streams*c.Tokens)
	return r, nil
}

// settleTime is how long resourceUsage waits before it samples. It is longer than the
// five seconds for which the stand-in engine keeps finished streams.
const settleTime = 6 * time.Second

// resourceUsage returns the number of goroutines and the heap in use after a garbage
// collection.
func resourceUsage() (goroutines int, heapMiB float64) {
	http.DefaultClient.CloseIdleConnections()
	time.Sleep(settleTime)
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return runtime.NumGoroutine(), float64(m.HeapAlloc) / (1 << 20)
}

// sendStreams sends the configured streams to one base URL and returns the measurements
// and the last error.
func sendStreams(base string, c Config) (PathStats, error) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: c.Callers}}
	defer client.CloseIdleConnections()
	var mu sync.Mutex
	var firstEvents, totals []time.Duration
	var lastErr error
	var wg sync.WaitGroup
	cpuBefore, allocsBefore := cpuTime(), mallocs()
	for range c.Callers {
		wg.Go(func() {
			for range c.Streams / c.Callers {
				first, total, err := stream(client, base, c.Tokens)
				mu.Lock()
				firstEvents, totals = append(firstEvents, first), append(totals, total)
				if err != nil {
					lastErr = err
				}
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	p := PathStats{Name: base, CPU: cpuTime() - cpuBefore, Allocs: mallocs() - allocsBefore}
	p.FirstEventP50, p.FirstEventP99 = quantile(firstEvents, 0.5), quantile(firstEvents, 0.99)
	p.TotalP50, p.TotalP99 = quantile(totals, 0.5), quantile(totals, 0.99)
	return p, lastErr
}

func mallocs() uint64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.Mallocs
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func quantile(samples []time.Duration, q float64) time.Duration {
	slices.Sort(samples)
	return samples[min(int(q*float64(len(samples))), len(samples)-1)]
}

// stream sends one request and reads its events to the last. It returns the time to the
// first event and to the end of the stream.
func stream(client *http.Client, base string, tokens int) (first, total time.Duration, err error) {
	body := fmt.Sprintf(`{"model":"m","prompt":"overhead","max_tokens":%d,"stream":true}`, tokens)
	req, err := http.NewRequest(http.MethodPost, base+"/v1/completions", strings.NewReader(body))
	if err != nil {
		return 0, 0, Error.Wrap(err)
	}
	req.Header.Set("Authorization", "Bearer "+teamKey)
	start := time.Now()
	resp, err := client.Do(req)
	if err != nil {
		return 0, 0, Error.Wrap(err)
	}
	defer func() { _ = resp.Body.Close() }()
	reader := bufio.NewReader(resp.Body)
	line, err := reader.ReadBytes('\n')
	first = time.Since(start)
	for err == nil && !bytes.Contains(line, []byte("[DONE]")) {
		line, err = reader.ReadBytes('\n')
	}
	if err != nil {
		return 0, 0, Error.New("stream ended before the [DONE] event: %v", err)
	}
	_, _ = io.Copy(io.Discard, reader)
	return first, time.Since(start), nil
}

// Print writes the results as text.
func (r *Result) Print(out io.Writer) {
	fmt.Fprintf(out, "%d streams of %d events, %d concurrent\n", r.Config.Streams, r.Config.Tokens, r.Config.Callers)
	for _, p := range []PathStats{r.Direct, r.ViaRouter} {
		fmt.Fprintf(out, "%-24s first event p50 %v p99 %v, whole stream p50 %v p99 %v, CPU time %v, allocations %d\n",
			p.Name, p.FirstEventP50, p.FirstEventP99, p.TotalP50, p.TotalP99, p.CPU.Round(time.Millisecond), p.Allocs)
	}
	fmt.Fprintf(out, "the router adds: first event p50 %v p99 %v, whole stream p50 %v p99 %v, CPU time %v per stream, %v per event, %d allocations per stream\n",
		r.ViaRouter.FirstEventP50-r.Direct.FirstEventP50, r.ViaRouter.FirstEventP99-r.Direct.FirstEventP99,
		r.ViaRouter.TotalP50-r.Direct.TotalP50, r.ViaRouter.TotalP99-r.Direct.TotalP99,
		r.CPUPerStream, r.CPUPerEvent, (r.ViaRouter.Allocs-r.Direct.Allocs)/uint64(r.Config.Streams))
	fmt.Fprintf(out, "goroutines %d before, %d after; heap %.1f MiB before, %.1f MiB after\n",
		r.GoroutinesBefore, r.GoroutinesAfter, r.HeapBeforeMiB, r.HeapAfterMiB)
}
