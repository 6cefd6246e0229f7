package lab

import (
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/aspenswitch/aspenswitch/dispatch"
)

// policy decides where requests go. It calls send or refuse once for each.
type policy interface {
	ask(r *request)
	// shed is told of an attempt that a router refused without asking.
	shed(r *request)
	started(r *request)
	done(r *request, o dispatch.Outcome, took time.Duration)
}

// Policy names one.
type Policy string

// Policies to compare.
const (
	// Home is the fleet's: a core that is asked and told over the network.
	Home Policy = "home"
	// Omniscient is the same core without any delay, told of starts at once.
	Omniscient Policy = "omniscient"
	// Random takes any engine and refuses nothing.
	Random Policy = "random"
	// LeastOutstanding takes the engine to which the own router has least outstanding.
	LeastOutstanding Policy = "least outstanding"
	// SessionHash hashes a session to an engine and refuses nothing.
	SessionHash Policy = "session hash"
)

// Policies returns all, the rivals first.
func Policies() []Policy { return []Policy{Random, LeastOutstanding, SessionHash, Home, Omniscient} }

// oneWay is the time of a message between routers of different failure domains.
const oneWay = 500 * time.Microsecond

func (w *world) policy(p Policy) policy {
	switch p {
	case Home:
		if w.shape.Homes > 1 {
			return w.newHomes(oneWay)
		}
		return w.newCore(oneWay)
	case Omniscient:
		return w.newCore(0)
	case Random:
		return &blind{w: w, pick: func(*request) int { return w.rnd.IntN(len(w.engines)) }}
	case SessionHash:
		return &blind{w: w, pick: func(r *request) int {
			return int(xxhash.Sum64String(strconv.FormatUint(r.parts[1].ID, 16)) % uint64(len(w.engines)))
		}}
	}
	return newLeast(w)
}

// cored asks a core at a distance.
type cored struct {
	w     *world
	core  *dispatch.Core
	delay time.Duration
	// index and homes tell which of the engines are the core's.
	index, homes int
	// over is set once another core is in its place.
	over bool
}

func (w *world) newCore(delay time.Duration) *cored { return w.newCoreOf(delay, 0, 1) }

// newCoreOf returns one of several homes, which divide the engines.
func (w *world) newCoreOf(delay time.Duration, index, homes int) *cored {
	c := &cored{w: w, core: dispatch.New(dispatch.DefaultConfig(true)), delay: delay, index: index, homes: homes}
	c.setEngines(0)
	c.lose(w.shape.EngineOutages)
	c.tick()
	return c
}

// setEngines tells the core which engines there are: all but the last few.
func (c *cored) setEngines(lost int) {
	engine := &c.w.load.Sheet.Engine
	var members []dispatch.Member
	for i, e := range c.w.engines[:len(c.w.engines)-lost] {
		if i%c.homes != c.index {
			continue
		}
		members = append(members, dispatch.Member{Incarnation: dispatch.Incarnation{ID: e.id}, Slots: engine.Slots, KVTokens: engine.KVTokens, CopyPerToken: engine.copyPerToken()})
	}
	c.core.SetCapacity(c.w.load.Sheet.TokensPerSecond * float64(len(members)) / float64(c.w.load.Sheet.Engines))
	c.deliver(c.core.SetMembers(c.w.clock.now, members))
}

// lose plays the times in which engines are lost.
func (c *cored) lose(all []EngineOutage) {
	for _, l := range all {
		c.w.clock.after(l.From, func() { c.setEngines(l.Engines) })
		c.w.clock.after(l.To, func() { c.setEngines(0) })
	}
}

func (c *cored) tick() {
	c.w.clock.after(10*time.Millisecond, func() {
		if c.over {
			return
		}
		c.deliver(c.core.Tick(c.w.clock.now))
		c.tick()
	})
}

func (c *cored) deliver(ds []dispatch.Decision) {
	if c.over {
		return
	}
	for _, d := range ds {
		r := c.w.requests[d.Ticket.Seq]
		c.w.clock.after(c.delay, func() { c.reply(r, d) })
	}
}

// reply brings a decision to the request's router.
func (c *cored) reply(r *request, d dispatch.Decision) {
	if len(c.w.routers) > 0 {
		c.w.replied(r, d)
		return
	}
	c.w.decided(r, d)
}

// ticket names an attempt; the router's number is one above its index.
func (c *cored) ticket(r *request) dispatch.Ticket {
	return dispatch.Ticket{Router: uint64(r.router) + 1, Seq: r.seq}
}

// question is what the core is asked.
func (c *cored) question(r *request) dispatch.Request {
	target := c.w.class(r).target()
	if len(c.w.routers) > 0 {
		target -= c.w.clock.now - r.triedAt
	}
	return dispatch.Request{
		Ticket: c.ticket(r), Team: strconv.Itoa(r.team), Prompt: r.prompt(), Output: r.hint,
		Parts: r.parts, Target: target, Timeout: c.w.left(r),
	}
}

func (c *cored) ask(r *request) {
	r.asks = true
	ask := c.question(r)
	c.w.clock.after(c.delay, func() { c.deliver(c.core.Submit(c.w.clock.now, ask)) })
}

func (c *cored) shed(r *request) {
	q := c.question(r)
	f, ok := dispatch.FingerprintOf(&q)
	if !ok {
		return
	}
	at := c.w.clock.now
	c.w.clock.after(c.delay, func() {
		c.core.RecordShed(c.w.clock.now, q.Ticket.Router, q.Team, dispatch.ChargedTokens(&q), []dispatch.ShedRequest{{Fingerprint: f, Age: c.w.clock.now - at, Timeout: q.Timeout}})
	})
}

func (c *cored) started(r *request) {
	c.w.clock.after(c.delay, func() { c.deliver(c.core.Started(c.w.clock.now, c.ticket(r))) })
}

func (c *cored) done(r *request, o dispatch.Outcome, took time.Duration) {
	c.w.clock.after(c.delay, func() { c.deliver(c.core.Done(c.w.clock.now, c.ticket(r), o, took)) })
}

// blind sends at once and never refuses.
type blind struct {
	w    *world
	pick func(*request) int
}

func (b *blind) ask(r *request) {
	b.w.decided(r, dispatch.Decision{Verdict: dispatch.Send, Upstream: b.w.engines[b.pick(r)].id})
}
func (b *blind) shed(*request)                                  {}
func (b *blind) started(*request)                               {}
func (b *blind) done(*request, dispatch.Outcome, time.Duration) {}

// least knows only what its own router has sent.
type least struct {
	w           *world
	outstanding map[int][]int
}

func newLeast(w *world) *least { return &least{w: w, outstanding: map[int][]int{}} }

func (l *least) ask(r *request) {
	own := l.outstanding[r.router]
	if own == nil {
		own = make([]int, len(l.w.engines))
		l.outstanding[r.router] = own
	}
	best := rand.New(rand.NewPCG(r.seq, r.seq)).IntN(len(own))
	for i := range own {
		if own[i] < own[best] {
			best = i
		}
	}
	own[best]++
	r.local = best
	l.w.decided(r, dispatch.Decision{Verdict: dispatch.Send, Upstream: l.w.engines[best].id})
}

func (l *least) shed(*request) {}

func (l *least) started(*request) {}

func (l *least) done(r *request, _ dispatch.Outcome, _ time.Duration) {
	l.outstanding[r.router][r.local]--
}
