package lab

import (
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/aspenswitch/aspenswitch/dispatch"
)

// placementPolicy decides where requests are sent. It passes its decisions to
// applyDecision: one send or refusal per attempt.
type placementPolicy interface {
	submit(r *request)
	// recordShed records an attempt that a router refused without asking the policy.
	recordShed(r *request)
	started(r *request)
	done(r *request, o dispatch.Outcome, took time.Duration)
}

// Policy is the name of a placement policy.
type Policy string

// Policies that can be compared.
const (
	// Home is the policy of the fleet: a core at a home, with network delay both ways.
	Home Policy = "home"
	// Omniscient is the same core without delay, configured with the performance of the engines
	// and notified immediately when a prompt is prefilled.
	Omniscient Policy = "omniscient"
	// Random picks a random engine and refuses nothing.
	Random Policy = "random"
	// LeastOutstanding picks the engine with the fewest outstanding requests of the receiving router.
	LeastOutstanding Policy = "least outstanding"
	// SessionHash picks the engine by a hash of the session and refuses nothing.
	SessionHash Policy = "session hash"
)

// Policies returns all policies, the baselines first.
func Policies() []Policy { return []Policy{Random, LeastOutstanding, SessionHash, Home, Omniscient} }

// oneWayDelay is the delay of a message between routers in different failure domains.
const oneWayDelay = 500 * time.Microsecond

func (s *simulation) newPolicy(p Policy) placementPolicy {
	switch p {
	case Home:
		if s.fleet.Homes > 1 {
			return s.newMultiHomePolicy(oneWayDelay)
		}
		return s.newCorePolicy(s.fleet.locality(dispatch.DefaultConfig(true)), oneWayDelay)
	case Omniscient:
		return s.newCorePolicy(s.fleet.locality(s.load.Sheet.Engine.config()), 0)
	case Random:
		return &statelessPolicy{sim: s, pickEngine: func(*request) int { return s.rng.IntN(len(s.engines)) }}
	case SessionHash:
		return &statelessPolicy{sim: s, pickEngine: func(r *request) int {
			return int(xxhash.Sum64String(strconv.FormatUint(r.parts[1].ID, 16)) % uint64(len(s.engines)))
		}}
	}
	return newLeastOutstanding(s)
}

// corePolicy uses a dispatch core that messages reach after a delay.
type corePolicy struct {
	sim   *simulation
	core  *dispatch.Core
	delay time.Duration
	// homeIndex and homeCount determine which engines belong to the core.
	homeIndex, homeCount int
	// replaced is set once another core has replaced this one.
	replaced bool
}

func (s *simulation) newCorePolicy(cfg dispatch.Config, delay time.Duration) *corePolicy {
	return s.newHomePolicy(cfg, delay, 0, 1)
}

// config returns the configuration that matches the engine.
func (e *EngineModel) config() dispatch.Config {
	c := dispatch.DefaultConfig(true)
	c.PrefillTokensPerMs, c.AttentionPairsPerMs = e.TokensPerMs, 1e6/e.PairsMsPerM
	c.ChunkTokens, c.PrefillStepMs, c.DecodeStepMs = e.ChunkTokens, e.StepMs, e.StepMs
	return c
}

// newHomePolicy returns the policy of one of several homes that divide the engines.
func (s *simulation) newHomePolicy(cfg dispatch.Config, delay time.Duration, homeIndex, homeCount int) *corePolicy {
	cfg.Features = s.fleet.Features
	cfg = s.fleet.locality(cfg)
	c := &corePolicy{sim: s, core: dispatch.New(cfg), delay: delay, homeIndex: homeIndex, homeCount: homeCount}
	c.core.SetLocality(true)
	s.cores = append(s.cores, c.core)
	c.setEngines(0)
	c.scheduleOutages(s.fleet.EngineOutages)
	c.tick()
	return c
}

// setEngines sets the core's members to its engines, without the last unavailable ones.
func (c *corePolicy) setEngines(unavailable int) {
	engine := &c.sim.load.Sheet.Engine
	var members []dispatch.Member
	for i, e := range c.sim.engines[:len(c.sim.engines)-unavailable] {
		if i%c.homeCount != c.homeIndex {
			continue
		}
		members = append(members, dispatch.Member{Incarnation: dispatch.Incarnation{ID: e.id}, Slots: engine.Slots, KVTokens: engine.KVTokens, CopyPerToken: engine.copyPerToken(), Version: c.sim.fleet.version(i), Domain: c.sim.fleet.domainName(e.domain)})
	}
	c.core.SetCapacity(c.sim.load.Sheet.TokensPerSecond * float64(len(members)) / float64(c.sim.load.Sheet.Engines))
	c.deliver(c.core.SetMembers(c.sim.clock.now, members))
}

// scheduleOutages schedules the periods in which engines are unavailable.
func (c *corePolicy) scheduleOutages(outages []EngineOutage) {
	for _, outage := range outages {
		c.sim.clock.after(outage.From, func() { c.setEngines(outage.Engines) })
		c.sim.clock.after(outage.To, func() { c.setEngines(0) })
	}
}

func (c *corePolicy) tick() {
	c.sim.clock.after(10*time.Millisecond, func() {
		if c.replaced {
			return
		}
		c.deliver(c.core.Tick(c.sim.clock.now))
		c.tick()
	})
}

func (c *corePolicy) deliver(ds []dispatch.Decision) {
	if c.replaced {
		return
	}
	for _, d := range ds {
		r := c.sim.requests[d.Ticket.Seq]
		c.sim.clock.after(c.delay, func() { c.reply(r, d) })
	}
}

// reply delivers a decision to the request's router.
func (c *corePolicy) reply(r *request, d dispatch.Decision) {
	if len(c.sim.routers) > 0 {
		c.sim.receiveDecision(r, d)
		return
	}
	c.sim.applyDecision(r, d)
}

// ticket identifies an attempt; the router number is its index plus one.
func (c *corePolicy) ticket(r *request) dispatch.Ticket {
	return dispatch.Ticket{Router: uint64(r.router) + 1, Seq: r.seq}
}

// dispatchRequest returns the request that is submitted to the core.
func (c *corePolicy) dispatchRequest(r *request) dispatch.Request {
	target := c.sim.class(r).target()
	if c.sim.result.Policy == Omniscient {
		target -= milliseconds(c.sim.load.Sheet.Engine.FirstTokenDelayMs)
	}
	if len(c.sim.routers) > 0 {
		target -= c.sim.clock.now - r.attemptAt
	}
	return dispatch.Request{
		Ticket: c.ticket(r), Team: strconv.Itoa(r.team), Prompt: r.prompt(), Output: r.outputHint,
		Parts: r.parts, Target: target, Timeout: c.sim.remaining(r), Version: r.version, Domain: c.sim.fleet.domainName(r.domain),
	}
}

func (c *corePolicy) submit(r *request) {
	r.awaitsDecision = true
	query := c.dispatchRequest(r)
	c.sim.clock.after(c.delay, func() { c.deliver(c.core.Submit(c.sim.clock.now, query)) })
}

func (c *corePolicy) recordShed(r *request) {
	query := c.dispatchRequest(r)
	fingerprint, ok := dispatch.FingerprintOf(&query)
	if !ok {
		return
	}
	shedAt := c.sim.clock.now
	c.sim.clock.after(c.delay, func() {
		c.core.RecordShed(c.sim.clock.now, query.Ticket.Router, query.Team, dispatch.ChargedTokens(&query), []dispatch.ShedRequest{{Fingerprint: fingerprint, Age: c.sim.clock.now - shedAt, Timeout: query.Timeout}})
	})
}

func (c *corePolicy) started(r *request) {
	c.sim.clock.after(c.delay, func() { c.deliver(c.core.Started(c.sim.clock.now, c.ticket(r))) })
}

func (c *corePolicy) done(r *request, o dispatch.Outcome, took time.Duration) {
	c.sim.clock.after(c.delay, func() { c.deliver(c.core.Done(c.sim.clock.now, c.ticket(r), o, took)) })
}

// statelessPolicy sends each request immediately and never refuses.
type statelessPolicy struct {
	sim        *simulation
	pickEngine func(*request) int
}

func (p *statelessPolicy) submit(r *request) {
	p.sim.applyDecision(r, dispatch.Decision{Verdict: dispatch.Send, Upstream: p.sim.engines[p.pickEngine(r)].id})
}
func (p *statelessPolicy) recordShed(*request)                            {}
func (p *statelessPolicy) started(*request)                               {}
func (p *statelessPolicy) done(*request, dispatch.Outcome, time.Duration) {}

// leastOutstanding counts outstanding requests per router and engine; routers don't share their counts.
type leastOutstanding struct {
	sim         *simulation
	outstanding map[int][]int
}

func newLeastOutstanding(sim *simulation) *leastOutstanding {
	return &leastOutstanding{sim: sim, outstanding: map[int][]int{}}
}

func (l *leastOutstanding) submit(r *request) {
	counts := l.outstanding[r.router]
	if counts == nil {
		counts = make([]int, len(l.sim.engines))
		l.outstanding[r.router] = counts
	}
	best := rand.New(rand.NewPCG(r.seq, r.seq)).IntN(len(counts))
	for i := range counts {
		if counts[i] < counts[best] {
			best = i
		}
	}
	counts[best]++
	r.engineIndex = best
	l.sim.applyDecision(r, dispatch.Decision{Verdict: dispatch.Send, Upstream: l.sim.engines[best].id})
}

func (l *leastOutstanding) recordShed(*request) {}

func (l *leastOutstanding) started(*request) {}

func (l *leastOutstanding) done(r *request, _ dispatch.Outcome, _ time.Duration) {
	l.outstanding[r.router][r.engineIndex]--
}
