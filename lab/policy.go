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
	// Least takes the engine to which the own router has least outstanding.
	Least Policy = "least outstanding"
	// Session hashes a session to an engine and refuses nothing.
	Session Policy = "session hash"
)

// Policies returns all, the rivals first.
func Policies() []Policy { return []Policy{Random, Least, Session, Home, Omniscient} }

// oneWay is the time of a message between routers of different failure domains.
const oneWay = 500 * time.Microsecond

func (w *world) policy(p Policy) policy {
	switch p {
	case Home:
		return w.newCore(oneWay)
	case Omniscient:
		return w.newCore(0)
	case Random:
		return &blind{w: w, pick: func(*request) int { return w.rnd.IntN(len(w.engines)) }}
	case Session:
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
}

func (w *world) newCore(delay time.Duration) *cored {
	c := &cored{w: w, core: dispatch.New(dispatch.DefaultConfig(true)), delay: delay}
	engine := &w.load.Sheet.Engine
	var members []dispatch.Member
	for _, e := range w.engines {
		members = append(members, dispatch.Member{Incarnation: dispatch.Incarnation{ID: e.id}, Slots: engine.Slots, KVTokens: engine.KVTokens, CopyPerToken: engine.copyPerToken()})
	}
	c.core.SetCapacity(w.load.Sheet.TokensPerSecond * float64(len(w.engines)) / float64(w.load.Sheet.Engines))
	c.core.SetMembers(0, members)
	c.tick()
	return c
}

func (c *cored) tick() {
	c.w.clock.after(10*time.Millisecond, func() {
		c.deliver(c.core.Tick(c.w.clock.now))
		c.tick()
	})
}

func (c *cored) deliver(ds []dispatch.Decision) {
	for _, d := range ds {
		r := c.w.requests[d.Ticket.Seq]
		c.w.clock.after(c.delay, func() { c.w.decided(r, d) })
	}
}

func (c *cored) ask(r *request) {
	ask := dispatch.Request{
		Ticket: dispatch.Ticket{Router: 1, Seq: r.seq}, Team: strconv.Itoa(r.team), Prompt: r.prompt(), Output: r.hint,
		Parts: r.parts, Target: c.w.class(r).target(), Left: c.w.left(r),
	}
	c.w.clock.after(c.delay, func() { c.deliver(c.core.Ask(c.w.clock.now, ask)) })
}

func (c *cored) started(r *request) {
	c.w.clock.after(c.delay, func() { c.deliver(c.core.Started(c.w.clock.now, dispatch.Ticket{Router: 1, Seq: r.seq})) })
}

func (c *cored) done(r *request, o dispatch.Outcome, took time.Duration) {
	c.w.clock.after(c.delay, func() { c.deliver(c.core.Done(c.w.clock.now, dispatch.Ticket{Router: 1, Seq: r.seq}, o, took)) })
}

// blind sends at once and never refuses.
type blind struct {
	w    *world
	pick func(*request) int
}

func (b *blind) ask(r *request) {
	b.w.decided(r, dispatch.Decision{Verdict: dispatch.Send, Upstream: b.w.engines[b.pick(r)].id})
}
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

func (l *least) started(*request) {}

func (l *least) done(r *request, _ dispatch.Outcome, _ time.Duration) {
	l.outstanding[r.router][r.local]--
}
