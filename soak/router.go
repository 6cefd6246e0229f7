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

// router is one VM: a process that is restarted whenever it exits, and the links to it.
type router struct {
	number       int
	cfg          Config
	rec          *Recorder
	settingsPath string
	readyURL     string
	// callers is the link from the callers to the router, store its link to the store.
	callers, store *Link

	mu          sync.Mutex
	cmd         *exec.Cmd
	incarnation int
	running     bool
	// began is the start time of the incarnation.
	began time.Duration
	// exitRequested is set once this incarnation was killed or asked to stop.
	exitRequested bool
	// resumeAt is when a paused incarnation is or was resumed; 0 if it was never paused.
	resumeAt time.Duration
	// restartDelay is how long the VM stays without a process after an exit.
	restartDelay time.Duration
	closed       bool
	// done is closed once no further process will be started.
	done chan struct{}
}

// Ports of a router, the same for all; each router has its own address.
const (
	callersPort = 8000
	readyPort   = 8001
	controlPort = 8002
	peersPort   = 7400
	metricsPort = 9464
)

// routerIP returns a loopback address that is unique to this router on the machine.
func routerIP(cfg Config, number int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 130+pid>>8&0x3f, pid&0xff, 1+cfg.Slot*maxRouters+number)
}

const (
	// maxRouters bounds the routers of a run, so that concurrent runs use disjoint addresses.
	maxRouters = 12
	// maxSlot is the highest slot whose addresses fit into the last byte.
	maxSlot = 254/maxRouters - 1
)

func newRouter(number int, cfg Config, rec *Recorder, store string) (*router, error) {
	ip := routerIP(cfg, number)
	r := &router{number: number, cfg: cfg, rec: rec, done: make(chan struct{})}
	r.readyURL = fmt.Sprintf("http://%s:%d%s", ip, readyPort, platform.ReadyPath)
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
	r.settingsPath = filepath.Join(cfg.Dir, s.Name+".json")
	return r, Error.Wrap(os.WriteFile(r.settingsPath, raw, 0o600))
}

// seedCount is the maximum number of seed peers in a router's settings.
const seedCount = 3

func routerSettings(number int, cfg Config, store string) settings.Fleet {
	ip := routerIP(cfg, number)
	s := settings.DefaultFleet()
	s.Name, s.FailureDomain = fmt.Sprint("r", number), fmt.Sprint("d", number%2)
	s.Callers = fmt.Sprintf("%s:%d", ip, callersPort)
	s.Readiness = fmt.Sprintf("%s:%d", ip, readyPort)
	s.Control = fmt.Sprintf("%s:%d", ip, controlPort)
	s.Metrics, s.Platform = metricsPort, store
	s.Peers = settings.Peers{IP: ip, Port: peersPort}
	for i := range min(seedCount, cfg.Routers) {
		s.Peers.Seeds = append(s.Peers.Seeds, fmt.Sprintf("%s:%d", routerIP(cfg, i), controlPort))
	}
	// Half a core, and enough log lines to analyze a run of a few thousand requests.
	s.Bounds, s.Processor, s.LogLines = cfg.Bounds, 0.5, 200
	if cfg.FloodFaults {
		s.Entry.LeaveWhenOverloaded, s.Files = true, floodedRouterFiles
		if number == 0 {
			s.Processor = weakProcessor
		}
	}
	return s
}

// start starts an incarnation and watches for its exit. The caller must hold mu, unless no
// other goroutine uses the router yet.
func (r *router) start() error {
	r.incarnation++
	log, err := os.Create(filepath.Join(r.cfg.Dir, fmt.Sprintf("r%d-%d.log", r.number, r.incarnation)))
	if err != nil {
		return Error.Wrap(err)
	}
	r.cmd = exec.Command(r.program(), "platform", "--settings", r.settingsPath)
	r.cmd.Stdout, r.cmd.Stderr = log, log
	// Without this setting the race detector sleeps for a second at exit, which exceeds the
	// grace period.
	r.cmd.Env = append(os.Environ(), "GOMAXPROCS=2", "GORACE=atexit_sleep_ms=0")
	r.exitRequested, r.resumeAt, r.running, r.began = false, 0, true, r.rec.Now()
	if err := r.cmd.Start(); err != nil {
		return Error.Wrap(err)
	}
	go r.watch(r.cmd, log)
	return nil
}

// program returns the path of the executable of the current incarnation.
func (r *router) program() string {
	if r.cfg.EarlierDaemon != "" && r.incarnation == 1 && r.number%2 == 1 {
		return r.cfg.EarlierDaemon
	}
	return r.cfg.Daemon
}

// watch waits for the process to exit and starts the next one.
func (r *router) watch(cmd *exec.Cmd, log *os.File) {
	err := cmd.Wait()
	_ = log.Close() // the process has ended; nothing more is written
	r.mu.Lock()
	r.running = false
	if !r.exitRequested {
		r.recordExit(fmt.Sprintf("exited unexpectedly: %v", err))
	}
	delay := r.restartDelay
	r.mu.Unlock()
	time.Sleep(delay)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		close(r.done)
		return
	}
	if err := r.start(); err != nil {
		r.recordExit(err.Error())
		close(r.done)
	}
}

func (r *router) recordExit(reason string) {
	e := Exit{Router: r.number, At: r.rec.Now(), Reason: reason}
	r.rec.Add(func(h *History) { h.Exits = append(h.Exits, e) })
}

// signal sends a signal to the current process.
func (r *router) signal(sig syscall.Signal) {
	_ = r.cmd.Process.Signal(sig) // it may have exited by itself, which watch records
}

// kill kills the process with SIGKILL; it is restarted after delay.
func (r *router) kill(delay time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.exitRequested, r.restartDelay = true, delay
	r.signal(syscall.SIGKILL)
}

// pause suspends the process and resumes it after duration, unless it was replaced meanwhile.
func (r *router) pause(duration time.Duration) {
	r.mu.Lock()
	cmd := r.cmd
	r.resumeAt = r.rec.Now() + duration
	r.signal(syscall.SIGSTOP)
	r.mu.Unlock()
	time.Sleep(duration)
	_ = cmd.Process.Signal(syscall.SIGCONT) // it may have been killed
}

// stop sends SIGTERM, waits for the termination grace period and kills the process if it
// still runs; it is restarted after delay.
func (r *router) stop(delay time.Duration) {
	r.mu.Lock()
	cmd := r.cmd
	r.exitRequested, r.restartDelay = true, delay
	r.signal(syscall.SIGTERM)
	r.mu.Unlock()
	time.Sleep(r.cfg.Bounds.TerminationGracePeriod())
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cmd != cmd || !r.running {
		return
	}
	if r.resumeAt == 0 {
		r.recordExit("still running after its termination grace period")
	}
	r.signal(syscall.SIGKILL)
}

// signalSetupTime is how long after its start a process may not yet handle signals: until
// the Go runtime is initialized, SIGHUP terminates it by default. That took 12 ms with the
// race detector and 3 ms without, and takes longer on a busy machine.
const signalSetupTime = 500 * time.Millisecond

func (r *router) reload() {
	r.mu.Lock()
	began := r.began
	r.mu.Unlock()
	time.Sleep(began + signalSetupTime - r.rec.Now())
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.began == began {
		r.signal(syscall.SIGHUP)
	}
}

// currentIncarnation returns the number of the current incarnation.
func (r *router) currentIncarnation() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.incarnation
}

// close kills the process for good and closes the links.
func (r *router) close() {
	r.mu.Lock()
	r.closed, r.exitRequested, r.restartDelay = true, true, 0
	r.signal(syscall.SIGKILL)
	r.mu.Unlock()
	<-r.done
	r.callers.Close()
	r.store.Close()
}

// isReady probes the readiness endpoint as a load balancer does.
func (r *router) isReady(client *http.Client) bool {
	resp, err := client.Get(r.readyURL)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
