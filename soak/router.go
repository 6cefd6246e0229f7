package soak

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/aspenswitch/aspenswitch/platform"
	"github.com/aspenswitch/aspenswitch/settings"
)

// router is one VM: a process that is started again whenever it ends, and the
// links to it.
type router struct {
	number   int
	cfg      Config
	rec      *Recorder
	settings string
	ready    string
	// callers and store are the links from the callers and to the store.
	callers, store *Link

	mu          sync.Mutex
	cmd         *exec.Cmd
	incarnation int
	running     bool
	// began is when the incarnation was started.
	began time.Duration
	// ordered is set once this incarnation's end was ordered.
	ordered bool
	// paused is when this incarnation is woken, or was; 0 if it was never paused.
	paused time.Duration
	// rest is how long the VM stays without a process.
	rest   time.Duration
	closed bool
	// ended is closed once no process follows any more.
	ended chan struct{}
}

// Ports of a router at its own address.
const (
	callersPort = 8000
	readyPort   = 8001
	controlPort = 8002
	peersPort   = 7400
	metricsPort = 9464
)

// routerIP is an address of loopback that no other router on the machine has.
func routerIP(cfg Config, number int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 130+pid>>8&0x3f, pid&0xff, 1+cfg.Slot*maxRouters+number)
}

const (
	// maxRouters bounds the routers of a run, so that runs have addresses apart.
	maxRouters = 12
	// maxSlot is the last one whose addresses fit in their last byte.
	maxSlot = 254/maxRouters - 1
)

func newRouter(number int, cfg Config, rec *Recorder, store string) (*router, error) {
	ip := routerIP(cfg, number)
	r := &router{number: number, cfg: cfg, rec: rec, ended: make(chan struct{})}
	r.ready = fmt.Sprintf("http://%s:%d%s", ip, readyPort, platform.ReadyPath)
	var err error
	if r.callers, err = NewLink("127.0.0.1", fmt.Sprintf("%s:%d", ip, callersPort)); err != nil {
		return nil, err
	}
	if r.store, err = NewLink("127.0.0.1", store); err != nil {
		return nil, err
	}
	s := routerSettings(number, cfg, r.store.Address())
	raw, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return nil, Error.Wrap(err)
	}
	r.settings = filepath.Join(cfg.Dir, s.Name+".json")
	return r, Error.Wrap(os.WriteFile(r.settings, raw, 0o600))
}

// seeds is how many routers each one is told of.
const seeds = 3

func routerSettings(number int, cfg Config, store string) settings.Fleet {
	ip := routerIP(cfg, number)
	s := settings.DefaultFleet()
	s.Name, s.FailureDomain = fmt.Sprint("r", number), fmt.Sprint("d", number%2)
	s.Callers = fmt.Sprintf("%s:%d", ip, callersPort)
	s.Readiness = fmt.Sprintf("%s:%d", ip, readyPort)
	s.Control = fmt.Sprintf("%s:%d", ip, controlPort)
	s.Metrics, s.Platform = metricsPort, store
	s.Peers = settings.Peers{IP: ip, Port: peersPort}
	for i := range min(seeds, cfg.Routers) {
		s.Peers.Seeds = append(s.Peers.Seeds, fmt.Sprintf("%s:%d", routerIP(cfg, i), controlPort))
	}
	// Half a core, and lines enough to explain a run of a few thousand requests.
	s.Bounds, s.Processor, s.LogLines = cfg.Bounds, 0.5, 200
	return s
}

// start begins an incarnation and watches for its end; the caller holds mu or is
// the only one that knows the router.
func (r *router) start() error {
	r.incarnation++
	log, err := os.Create(filepath.Join(r.cfg.Dir, fmt.Sprintf("r%d-%d.log", r.number, r.incarnation)))
	if err != nil {
		return Error.Wrap(err)
	}
	r.cmd = exec.Command(r.cfg.Daemon, "platform", "--settings", r.settings)
	r.cmd.Stdout, r.cmd.Stderr = log, log
	// The race detector lets a process that ends sleep for a second otherwise,
	// beyond its grace.
	r.cmd.Env = append(os.Environ(), "GOMAXPROCS=2", "GORACE=atexit_sleep_ms=0")
	r.ordered, r.paused, r.running, r.began = false, 0, true, r.rec.Now()
	if err := r.cmd.Start(); err != nil {
		return Error.Wrap(err)
	}
	go r.watch(r.cmd, log)
	return nil
}

// watch waits for the process's end and starts the next one.
func (r *router) watch(cmd *exec.Cmd, log *os.File) {
	err := cmd.Wait()
	_ = log.Close() // the process has ended; nothing more is written
	r.mu.Lock()
	r.running = false
	if !r.ordered {
		r.note(fmt.Sprintf("ended by itself: %v", err))
	}
	rest := r.rest
	r.mu.Unlock()
	time.Sleep(rest)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		close(r.ended)
		return
	}
	if err := r.start(); err != nil {
		r.note(err.Error())
		close(r.ended)
	}
}

func (r *router) note(how string) {
	e := Exit{Router: r.number, At: r.rec.Now(), Reason: how}
	r.rec.Add(func(h *History) { h.Exits = append(h.Exits, e) })
}

// signal sends a signal to the process that runs now.
func (r *router) signal(sig syscall.Signal) {
	_ = r.cmd.Process.Signal(sig) // it may have ended by itself, which watch notes
}

// kill ends the process without notice; it starts again after rest.
func (r *router) kill(rest time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ordered, r.rest = true, rest
	r.signal(syscall.SIGKILL)
}

// pause stops the process and wakes it, unless another takes its place meanwhile.
func (r *router) pause(lasts time.Duration) {
	r.mu.Lock()
	cmd := r.cmd
	r.paused = r.rec.Now() + lasts
	r.signal(syscall.SIGSTOP)
	r.mu.Unlock()
	time.Sleep(lasts)
	_ = cmd.Process.Signal(syscall.SIGCONT) // it may have been killed
}

// stop is a planned stop: a signal, the grace, and the end.
func (r *router) stop(rest time.Duration) {
	r.mu.Lock()
	cmd := r.cmd
	r.ordered, r.rest = true, rest
	r.signal(syscall.SIGTERM)
	r.mu.Unlock()
	time.Sleep(r.cfg.Bounds.TerminationGracePeriod())
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cmd != cmd || !r.running {
		return
	}
	if r.paused == 0 {
		r.note("ran on after its grace")
	}
	r.signal(syscall.SIGKILL)
}

// firstSteps is how long a process needs until it can take any signal: before its
// runtime has begun the default of a signal to reload ends every program. That is
// 12 ms with the race detector and 3 ms without, and more on a busy machine.
const firstSteps = 500 * time.Millisecond

func (r *router) reload() {
	r.mu.Lock()
	began := r.began
	r.mu.Unlock()
	time.Sleep(began + firstSteps - r.rec.Now())
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.began == began {
		r.signal(syscall.SIGHUP)
	}
}

// current is the number of the incarnation that runs now.
func (r *router) current() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.incarnation
}

// close ends the process for good.
func (r *router) close() {
	r.mu.Lock()
	r.closed, r.ordered, r.rest = true, true, 0
	r.signal(syscall.SIGKILL)
	r.mu.Unlock()
	<-r.ended
	r.callers.Close()
	r.store.Close()
}

// isReady asks as a balancer does.
func (r *router) isReady(client *http.Client) bool {
	resp, err := client.Get(r.ready)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
