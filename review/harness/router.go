package harness

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Router is a machine with a router process, started with the command of deploy/system.toml.
type Router struct {
	Name, Zone, IP string
	dir, settings  string
	mu             sync.Mutex
	cmd            *exec.Cmd
	// since is when the present process was started or resumed.
	since   time.Time
	running bool
	starts  int
}

// Ports of a router, the same on all machines.
const (
	FrontPort = 8783
	readyPort = 8780
	ctlPort   = 8785
	peersPort = 7400
)

// Spec describes a machine.
type Spec struct {
	Name, Zone string
	MemoryMB   int
}

// NewRouters returns the machines of a deployment, each with a loopback address of its own. Their
// settings are what deploy/settings.json.tmpl makes of the settings of a small site.
func NewRouters(dir string, store *Store, specs []Spec) ([]*Router, error) {
	pid := os.Getpid()
	ip := func(i int) string { return fmt.Sprintf("127.%d.%d.%d", 200+pid>>8&0x1f, pid&0xff, i+1) }
	zones := map[string]string{}
	var seeds []string
	for i, s := range specs {
		zones[s.Zone] = "east-mids"
		if len(seeds) < 3 {
			seeds = append(seeds, fmt.Sprintf("%s:%d", ip(i), ctlPort))
		}
	}
	var routers []*Router
	for i, s := range specs {
		address, err := store.Serve(s.Name)
		if err != nil {
			return nil, err
		}
		r := &Router{Name: s.Name, Zone: s.Zone, IP: ip(i), dir: dir, settings: filepath.Join(dir, s.Name+".json")}
		raw, err := json.MarshalIndent(map[string]any{
			"name": s.Name, "failureDomain": s.Zone, "regions": zones,
			"callers": r.Front(), "readiness": fmt.Sprintf("%s:%d", r.IP, readyPort), "control": fmt.Sprintf("%s:%d", r.IP, ctlPort), "metrics": 9464,
			"peers":    map[string]any{"ip": r.IP, "port": peersPort, "seeds": seeds},
			"platform": address, "processor": 0.4, "memoryMB": s.MemoryMB, "files": 4100,
			"placement": map[string]bool{"locality": true, "reservations": true, "handover": true, "loadReports": true},
			"entry":     map[string]bool{"leaveWhenOverloaded": true},
			"bounds": map[string]float64{
				"revokeMs": 5000, "applyMs": 2000, "leaveMs": 2000, "graceS": 8, "retryRatio": 0.2, "retryAllowance": 52,
				"retryWindowS": 10, "shareWindowS": 4, "warmUpOverage": 1, "warmUpSlack": 0, "evacuateMs": 5000,
			},
		}, "", "  ")
		if err != nil {
			return nil, err
		}
		if err := os.WriteFile(r.settings, raw, 0o600); err != nil {
			return nil, err
		}
		routers = append(routers, r)
	}
	return routers, nil
}

// Front returns the address for callers.
func (r *Router) Front() string { return fmt.Sprintf("%s:%d", r.IP, FrontPort) }

// Start starts a process.
func (r *Router) Start() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.starts++
	log, err := os.Create(filepath.Join(r.dir, fmt.Sprintf("%s-%d.log", r.Name, r.starts)))
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }() // the process has its own descriptor
	r.cmd = exec.Command("target/aspenswitchd", "platform")
	r.cmd.Env = []string{"ASPENSWITCH_SETTINGS=" + r.settings, "GOMAXPROCS=1", "PATH=" + os.Getenv("PATH"), "HOME=" + r.dir}
	r.cmd.Stdout, r.cmd.Stderr = log, log
	if err := r.cmd.Start(); err != nil {
		return err
	}
	r.since, r.running = time.Now(), true
	return nil
}

// Signal sends a signal to the process.
func (r *Router) Signal(sig syscall.Signal) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cmd.Process.Signal(sig)
}

// Kill ends the process with SIGKILL and waits for its end.
func (r *Router) Kill() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.running {
		return
	}
	r.running = false
	_ = r.cmd.Process.Kill()
	_ = r.cmd.Wait()
}

// Pid returns the ID of the process.
func (r *Router) Pid() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cmd.Process.Pid
}

// RanFor returns for how long the present process has run, 0 if there is none.
func (r *Router) RanFor() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.running {
		return 0
	}
	return time.Since(r.since)
}

// Ready asks whether the router is ready, as the platform does.
func (r *Router) Ready() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get(fmt.Sprintf("http://%s:%d/v1/ready", r.IP, readyPort))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// AwaitReady waits until all routers are ready.
func AwaitReady(routers []*Router, within time.Duration) bool {
	for deadline := time.Now().Add(within); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, r := range routers {
			if r.Ready() {
				ready++
			}
		}
		if ready == len(routers) {
			return true
		}
	}
	return false
}

// PeakMemory returns the largest resident memory of the present process in MB, 0 if there is none.
func (r *Router) PeakMemory() int { return r.memory("VmHWM:") }

// Memory returns the resident memory of the present process in MB, 0 if there is none.
func (r *Router) Memory() int { return r.memory("VmRSS:") }

func (r *Router) memory(field string) int {
	if r.RanFor() == 0 {
		return 0
	}
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", r.Pid()))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(status)) {
		if words := strings.Fields(line); len(words) > 1 && words[0] == field {
			kb, err := strconv.Atoi(words[1])
			if err == nil {
				return kb / 1024
			}
		}
	}
	return 0
}
