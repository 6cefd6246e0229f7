package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

const (
	// crashPathPrefix follows the route prefix in the path of a request that crashes upstreams.
	crashPathPrefix = "crash-"
	// meanCrashInterval is the mean time between two such requests during a fault.
	meanCrashInterval = 80 * time.Millisecond
	// crashDeregisterDelay is the time from a crash to the removal of the upstream's entry.
	crashDeregisterDelay = 500 * time.Millisecond
)

// sendCrashingRequests repeats a request that crashes upstreams until the fault ends. Each one is
// sent on a new connection, to a router picked by the balancer.
func (d *deployment) sendCrashingRequests(f Fault) {
	content := fmt.Sprintf("%d-%d", f.At.Milliseconds(), f.Variant)
	c := &caller{number: f.Variant, rnd: rand.New(rand.NewPCG(uint64(f.Variant), uint64(f.At))), lb: d.lb, op: d.op, rec: d.rec}
	defer c.closeConn()
	for n, until := 0, d.rec.Now()+f.ActiveFor; d.rec.Now() < until; n++ {
		time.Sleep(time.Duration(c.rnd.ExpFloat64() * float64(meanCrashInterval)))
		c.closeConn()
		if c.connect() {
			c.send(Request{
				ID: fmt.Sprintf("x%s-%d", content, n), Kind: Crashing, Prefix: prefixes[Crashing], Key: fixedKey, Content: content,
				Router: c.router.number, Incarnation: c.incarnation,
			})
		}
	}
}

// crashIfMarked reports whether a request crashes the upstream. If so, it records the crash and
// restarts the upstream as another incarnation.
func (e *endpoint) crashIfMarked(id string, r *http.Request) bool {
	if !strings.Contains(r.RequestURI, crashPathPrefix) {
		return false
	}
	e.recordCrash(id, Crash{URI: r.RequestURI, Upstream: id})
	return true
}

// recordCrash records the crash of an upstream by a request, and restarts it.
func (e *endpoint) recordCrash(id string, crash Crash) {
	crash.At = e.rec.Now()
	e.rec.Add(func(h *History) { h.Crashes = append(h.Crashes, crash) })
	if e.beginReplacement() {
		e.mu.Lock()
		e.recordServing(false)
		e.mu.Unlock()
		go func() {
			time.Sleep(crashDeregisterDelay)
			e.op.deregister(id)
			e.restart()
		}()
	}
}
