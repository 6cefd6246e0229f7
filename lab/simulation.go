package lab

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/aspenswitch/aspenswitch/dispatch"
	"github.com/aspenswitch/aspenswitch/quarantine"
)

// simulation is one run of a load under a policy.
type simulation struct {
	clock      *clock
	load       Load
	fleet      Fleet
	engines    []*engine
	engineByID map[string]*engine
	routers    []*router
	requests   map[uint64]*request
	policy     placementPolicy
	// cores are those of all homes, also of replaced ones.
	cores    []*dispatch.Core
	rng      *rand.Rand
	result   Result
	earnings *ledger
	fairness *fairnessMeter
	// crash is nil unless the fleet has a CrashingPart.
	crash *crashState
	// seq is the number of the latest attempt.
	seq uint64
	// promptTokens and farBytes are sums over the requests that were sent to engines.
	promptTokens, farBytes int
}

// request is a caller's request, with the state of its latest attempt.
type request struct {
	arrival
	// domain is the failure domain of the router that received the request.
	domain int
	// seq identifies the latest attempt and attempts counts them; parts and outputHint are the
	// same for all attempts.
	seq      uint64
	attempts int
	// attemptAt is when the caller sent this attempt.
	attemptAt time.Duration
	// version is the software version at which the request must run, "" for any.
	version     string
	parts       []dispatch.Part
	outputHint  int
	engineIndex int
	sentAt      time.Duration
	firstToken  time.Duration
	// engineSequence is set once the request is sent to an engine; upstream is the engine's ID.
	engineSequence *sequence
	upstream       string
	// awaitsDecision is set while an attempt is pending at a home.
	awaitsDecision bool
	ended          bool
	// sends and unreachable count how often an engine received the request and got no answer to it,
	// and how often an engine was down; trial are the keys that the attempt is a trial of.
	sends, unreachable int
	trial              []quarantine.Key
}

func (r *request) prompt() int {
	n := 0
	for _, p := range r.parts {
		n += p.Tokens
	}
	return n
}

// Simulate runs a load on a fleet under a policy. The same seed gives the same result.
func Simulate(l Load, f Fleet, p Policy) Result { return runSimulation(l, f, p).summarize() }

func runSimulation(l Load, f Fleet, p Policy) *simulation {
	sim := &simulation{
		clock: &clock{}, load: l, fleet: f, engineByID: map[string]*engine{}, requests: map[uint64]*request{},
		rng: rand.New(rand.NewPCG(l.Seed, 1)), result: Result{Policy: p, WorthByClass: map[string]float64{}},
		earnings: newLedger(l.Sheet), fairness: newFairnessMeter(l.Sheet.Teams),
	}
	model := &l.Sheet.Engine
	for i := range f.Engines {
		e := newEngine(fmt.Sprintf("e%d", i), sim.clock, model, model.Speeds[i%len(model.Speeds)])
		e.peers = sim.engineByID
		e.incarnation, e.domain = uint32(i), f.engineDomain(i)
		e.crashesOn, e.crashed = sim.hasCrashingPart, func() { sim.crashed(e) }
		sim.engines = append(sim.engines, e)
		sim.engineByID[e.id] = e
	}
	for _, cpuShare := range f.RouterCPUs {
		sim.routers = append(sim.routers, newRouter(sim.clock, cpuShare))
	}
	for _, stall := range f.RouterStalls {
		sim.clock.after(stall.At, func() { sim.routers[stall.Router].stall(stall.Length) })
	}
	if f.CrashingPart != nil {
		sim.crash = &crashState{CrashingPart: f.CrashingPart, quarantines: newRouterQuarantines(f.Routers)}
	}
	sim.policy = sim.newPolicy(p)
	versions := rand.New(rand.NewPCG(l.Seed, versionStream))
	domains := rand.New(rand.NewPCG(l.Seed, domainStream))
	crashing := rand.New(rand.NewPCG(l.Seed, crashingStream))
	for i, a := range l.arrivals(f.Routers) {
		if c := f.CrashingPart; c != nil && crashing.Float64() < c.Fraction {
			a.class, a.session = c.Class, c.Session
		}
		if len(sim.routers) > 0 {
			a.router = sim.pickRouter(a.team)
		}
		r := &request{arrival: a}
		r.parts = sim.parts(r, uint64(i+1))
		r.domain = f.entryDomain(r.team, domains.Float64())
		if f.Release != nil && versions.Float64() < f.Release.Continued {
			r.version = oldVersion
		}
		// Callers' hints are right at the median and often far off.
		r.outputHint = max(1, int(lognormal(sim.rng, float64(a.outputTokens), 0.5)))
		sim.earnings.recordRequest(r.at, r.team, sim.worth(r, sim.class(r).Worth), r.charge())
		sim.clock.after(a.at, func() { sim.arrive(r) })
	}
	sim.clock.run(l.Duration + 20*time.Second)
	return sim
}

// pickRouter returns the router for a caller of a team.
func (s *simulation) pickRouter(team int) int {
	if slices.Contains(s.fleet.SpreadTeams, team) {
		return s.rng.IntN(len(s.routers))
	}
	return team % len(s.routers)
}

// sessionPart is set in the IDs of the parts of sessions.
const sessionPart = 1 << 20

// parts returns a request's prompt parts: group, session and its own.
func (s *simulation) parts(r *request, ownID uint64) []dispatch.Part {
	c := s.class(r)
	base := uint64(r.class+1) << 40
	group := r.session % c.Groups
	return []dispatch.Part{
		{ID: base | uint64(group), Tokens: int(c.GroupTokens)},
		{ID: base | sessionPart | uint64(r.session), Tokens: int(c.SessionTokens)},
		{ID: base | 1<<39 | ownID, Tokens: r.ownTokens},
	}
}

func (s *simulation) class(r *request) *Class { return &s.load.Sheet.Classes[r.class] }

// charge returns the tokens charged to a team's share: prompt tokens plus twice the output tokens.
func (r *request) charge() float64 { return float64(r.prompt()) + 2*float64(r.outputTokens) }

// latestAttempts returns the requests at their latest attempt, ordered by attempt number.
func (s *simulation) latestAttempts() []*request {
	out := make([]*request, 0, len(s.requests))
	for seq, r := range s.requests {
		if seq == r.seq {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b *request) int { return cmp.Compare(a.seq, b.seq) })
	return out
}

// worth scales base by the request's size: three tenths are fixed, the rest is proportional
// to the size relative to the mean of the class, up to four times base.
func (s *simulation) worth(r *request, base float64) float64 {
	c := s.class(r)
	mean := c.GroupTokens + c.SessionTokens + c.OwnTokens + 10*c.OutputTokens
	size := (float64(r.prompt()) + 10*float64(r.outputTokens)) / mean
	return base * min(0.3+0.7*size, 4)
}

func (s *simulation) arrive(r *request) {
	s.fairness.at(s.clock.now, r.team).requestedTokens += r.charge()
	s.fairness.largestRequest = max(s.fairness.largestRequest, r.charge())
	s.clock.after(s.class(r).deadline(), func() { s.expire(r) })
	s.countOther(r)
	s.attempt(r)
}

// attempt sends the next attempt of a request under a new number.
func (s *simulation) attempt(r *request) {
	s.seq++
	r.seq = s.seq
	r.attempts++
	r.attemptAt = s.clock.now
	s.requests[r.seq] = r
	if !s.maySend(r) {
		s.refuseQuarantined(r)
		return
	}
	if len(s.routers) > 0 {
		s.receive(r)
		return
	}
	s.policy.submit(r)
}

// remaining returns the time until the caller's deadline.
func (s *simulation) remaining(r *request) time.Duration {
	return r.at + s.class(r).deadline() - s.clock.now
}

// applyDecision applies a decision as a router does.
func (s *simulation) applyDecision(r *request, d dispatch.Decision) {
	if d.Verdict == dispatch.Wait || r.ended || r.engineSequence != nil || d.Ticket.Seq != r.seq && d.Ticket.Seq != 0 {
		return
	}
	r.awaitsDecision = false
	if d.Verdict == dispatch.Refuse {
		s.refused(r, d.RetryAfter)
		return
	}
	if !s.maySend(r) {
		s.policy.done(r, dispatch.NotSent, 0)
		s.refuseQuarantined(r)
		return
	}
	r.sentAt = s.clock.now
	q := &sequence{parts: r.parts, prompt: r.prompt(), outputTokens: r.outputTokens}
	r.engineSequence = q
	q.received, q.interrupted = func() { s.countSend(r) }, func() { s.interrupted(r, q) }
	q.unreachable = func() { s.unreachable(r, q) }
	informed := s.result.Policy == Omniscient
	r.engineSequence.prefilled = func() {
		if informed {
			s.policy.started(r)
		}
	}
	r.engineSequence.firstToken = func() {
		if r.engineSequence != q {
			return // the token's engine has crashed since
		}
		r.firstToken = s.clock.now
		s.reportStarted(r)
		cell := s.fairness.at(s.clock.now, r.team)
		cell.startedTokens += r.charge()
		cell.underserved = cell.underserved || r.firstToken-r.at > s.class(r).target()
		if !informed {
			s.policy.started(r)
		}
	}
	r.engineSequence.done = func() { s.answered(r) }
	r.upstream = d.Upstream
	s.countTraffic(r, s.engineByID[d.Upstream])
	s.engineByID[d.Upstream].submit(r.engineSequence, s.engineByID[d.CopyFrom])
}

// A caller's retry delay is at most its remaining time divided by retryDelayDivisor.
const retryDelayDivisor = 3

// refused ends a request, or schedules a retry after retryAfter.
func (s *simulation) refused(r *request, retryAfter time.Duration) {
	s.endTrial(r)
	s.fairness.at(s.clock.now, r.team).underserved = true
	s.result.Refusals++
	if r.attempts <= s.load.MaxRetries {
		s.clock.after(min(retryAfter, s.remaining(r)/retryDelayDivisor)+s.load.RetryDelay, func() {
			if !r.ended {
				s.attempt(r)
			}
		})
		return
	}
	r.ended = true
	s.finish(r, 0, &s.result.Refused)
}

// answered records a complete answer.
func (s *simulation) answered(r *request) {
	if r.ended {
		return
	}
	r.ended = true
	c := s.class(r)
	s.policy.done(r, dispatch.Served, s.clock.now-r.sentAt)
	if r.firstToken-r.at <= c.target() && r.engineSequence.longestPause <= milliseconds(s.load.Sheet.Engine.PauseMs) {
		s.finish(r, c.Worth, &s.result.OnTime)
		return
	}
	s.finish(r, c.LateWorth, &s.result.Late)
}

// expire cancels a request at its deadline.
func (s *simulation) expire(r *request) {
	if r.ended {
		return
	}
	r.ended = true
	s.endTrial(r)
	if r.engineSequence != nil {
		r.engineSequence.cancelled = true
	}
	s.policy.done(r, dispatch.Cancelled, 0)
	s.finish(r, 0, &s.result.TimedOut)
}

// finish records a request's outcome and the base worth that it earned.
func (s *simulation) finish(r *request, earned float64, counter *float64) {
	*counter++
	s.result.offered++
	s.earnings.recordEarned(r.at, r.team, s.worth(r, earned))
	s.result.WorthByClass[s.class(r).Name] += earned
}
