package entry_test

import (
	"fmt"
	"hash/fnv"
	"time"

	"github.com/aspenswitch/aspenswitch/entry"
)

const (
	step          = 50 * time.Millisecond
	probeInterval = time.Second
	// connectionsPerCore is the number of new connections that a router accepts per second and core.
	connectionsPerCore = 4000
)

// caller is an address from which new connections come.
type caller struct {
	address string
	rate    float64
	// acceptedPart is the part of the connections of the last step that were accepted.
	acceptedPart float64
}

// router is a VM of a failure domain with its entry point.
type router struct {
	name   string
	weight float64
	gate   *entry.Gate
	load   entry.Load
	lost   bool
	misses int
}

// domain is a failure domain with its hub and its load balancer, in virtual time.
type domain struct {
	now     time.Duration
	routers []*router
	callers []*caller
	table   *entry.Table
	// reachable reports whether a router reaches the hub.
	reachable func(*router) bool
	// lost reports whether a message is lost.
	lost   func() bool
	leaves int
}

func newDomain(weights ...float64) *domain {
	d := &domain{reachable: func(*router) bool { return true }, lost: func() bool { return false }}
	for i, w := range weights {
		d.routers = append(d.routers, &router{name: fmt.Sprintf("r%02d", i), weight: w, gate: entry.NewGate()})
	}
	d.table = entry.NewTable(0, d.known())
	d.run(4*time.Second, nil)
	return d
}

// known returns the routers of which the hub has heartbeats.
func (d *domain) known() (all []entry.Router) {
	for _, r := range d.routers {
		if !r.lost && d.reachable(r) {
			all = append(all, entry.Router{Address: r.name, Weight: r.weight, Available: true})
		}
	}
	return all
}

// run lets time pass, and calls check after each step.
func (d *domain) run(span time.Duration, check func()) {
	for end := d.now + span; d.now < end; {
		d.now += step
		d.connect()
		d.table.Update(d.now, d.known())
		for i, r := range d.routers {
			if r.lost {
				r.misses++
				continue
			}
			wasOut := r.out(d.now)
			d.exchange(r, r.gate.Observe(d.now, r.load, true))
			if r.out(d.now) && !wasOut {
				d.leaves++
			}
			if (d.now+time.Duration(i)*step)%probeInterval == 0 {
				r.probe(d.now)
			}
		}
		if check != nil {
			check()
		}
	}
}

// exchange passes a router's message to the hub, and the answer back.
func (d *domain) exchange(r *router, a entry.Action) {
	if a.Kind == entry.DoNothing || !d.reachable(r) || d.lost() {
		return
	}
	var decision entry.Decision
	switch a.Kind {
	case entry.Ask:
		decision = d.table.Ask(d.now, r.name, a.Span, a.Demand)
	case entry.Renew:
		decision = d.table.Renew(d.now, r.name, a.Span)
	default:
		d.table.End(d.now, r.name)
	}
	if d.lost() {
		return
	}
	switch decision.Verdict {
	case entry.Grant:
		d.exchange(r, r.gate.Granted(d.now, d.now, decision.Span))
	case entry.Refuse:
		d.exchange(r, r.gate.Refused(d.now, d.now, decision.Reason))
	case entry.Wait:
	}
}

func (r *router) out(now time.Duration) bool { return now < r.gate.OutUntil() }

func (r *router) probe(now time.Duration) {
	if r.misses++; !r.out(now) {
		r.misses = 0
	}
}

// rotation returns the routers that get new connections.
func (d *domain) rotation() []*router {
	var in []*router
	for _, r := range d.routers {
		if r.misses < 2 {
			in = append(in, r)
		}
	}
	if 2*len(in) < len(d.routers) {
		return d.routers
	}
	return in
}

// routerOf returns the router to which the load balancer assigns a caller.
func (d *domain) routerOf(c *caller) *router {
	var best *router
	var highest uint64
	for _, r := range d.rotation() {
		h := fnv.New64a()
		_, _ = h.Write([]byte(c.address + "/" + r.name)) // never fails
		if score := h.Sum64() * 0x9e3779b97f4a7c15; best == nil || score > highest {
			best, highest = r, score
		}
	}
	return best
}

// connect makes the callers connect to their routers.
func (d *domain) connect() {
	offered := map[*router]float64{}
	for _, c := range d.callers {
		offered[d.routerOf(c)] += c.rate * step.Seconds()
	}
	for _, r := range d.routers {
		accepted := min(offered[r], r.weight*connectionsPerCore*step.Seconds())
		r.load.Opened += int64(accepted)
		r.load.Rejected += int64(offered[r] - accepted)
	}
	for _, c := range d.callers {
		r := d.routerOf(c)
		c.acceptedPart = min(1, r.weight*connectionsPerCore*step.Seconds()/offered[r])
		if r.lost {
			c.acceptedPart = 0
		}
	}
}

// flood adds callers whose connections, rate a second altogether, meet one router.
func (d *domain) flood(at *router, callers int, rate float64) []*caller {
	var added []*caller
	for i := 0; len(added) < callers; i++ {
		c := &caller{address: fmt.Sprintf("flood%d-%d", len(d.callers), i), rate: rate / float64(callers)}
		if d.routerOf(c) == at {
			added = append(added, c)
			d.callers = append(d.callers, c)
		}
	}
	return added
}

// outNow returns the number of routers that are out.
func (d *domain) outNow() (out int) {
	for _, r := range d.routers {
		if !r.lost && r.out(d.now) {
			out++
		}
	}
	return out
}

// repeat returns n equal weights.
func repeat(n int, weight float64) []float64 {
	weights := make([]float64, n)
	for i := range weights {
		weights[i] = weight
	}
	return weights
}

// mixed is a failure domain of a few strong VMs and many weak ones.
func mixed() []float64 {
	return append(append(repeat(2, 0.8), repeat(5, 0.48)...), repeat(13, 0.144)...)
}
