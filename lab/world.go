package lab

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/aspenswitch/aspenswitch/dispatch"
)

// world is one play of a load under a policy.
type world struct {
	clock    *clock
	load     Load
	shape    Fleet
	engines  []*engine
	byID     map[string]*engine
	routers  []*router
	requests map[uint64]*request
	decider  policy
	rnd      *rand.Rand
	result   Result
	owed     *ledger
	gap      *fairnessGap
	// seq names attempts.
	seq uint64
}

// request is a caller's request in the lab.
type request struct {
	arrival
	// seq names the attempt, tries counts them; parts and hint stay the same.
	seq   uint64
	tries int
	// triedAt is when the caller sent this attempt.
	triedAt time.Duration
	parts   []dispatch.Part
	hint    int
	local   int
	sentAt  time.Duration
	first   time.Duration
	// atEngine is set once an engine, upstream, has it.
	atEngine *sequence
	upstream string
	// asks is set while a home is asked for the attempt.
	asks  bool
	ended bool
}

func (r *request) prompt() int {
	n := 0
	for _, p := range r.parts {
		n += p.Tokens
	}
	return n
}

// Result is what callers got, as parts of what was offered.
type Result struct {
	Policy Policy
	// Worth is earned over offered; WorthByClass the same for each kind, SmallTeamsWorth
	// for the teams below the median size.
	Worth           float64
	WorthByClass    map[string]float64
	SmallTeamsWorth float64
	// FairShareWorth is what teams earned of what they were owed: what a team asks beyond
	// its max-min share of the published yield counts neither way. WorstTeamsWorth is
	// the same for the tenth of the teams that got least of theirs.
	FairShareWorth, WorstTeamsWorth float64
	// FairnessRatio is the least part of its due that a team got over six seconds.
	FairnessRatio float64
	// TrimmedFairnessRatio is the same with three of the largest requests left out, as users reckon.
	TrimmedFairnessRatio float64
	// OnTime, Late, Refused, TimedOut are parts of the requests.
	OnTime, Late, Refused, TimedOut float64
	// RedundantPrefill is the part of the tokens read that shared parts read again took.
	RedundantPrefill float64
	asked            float64
}

// Fleet is the lab's fleet.
type Fleet struct {
	Engines, Routers int
	// Homes is how many homes divide the engines; 0 is one.
	Homes int
	// SpreadTeams are teams whose callers meet all routers, in plays with RouterCPUs. Those of
	// others meet one.
	SpreadTeams []int
	// RouterCPUs are the routers' shares of a core, for plays in which their time
	// counts and a team's callers all meet one router. Empty: it doesn't.
	RouterCPUs []float64
	// RouterStalls are times in which a router does nothing.
	RouterStalls []RouterStall
	// EngineOutages are times in which some of the engines get no work.
	EngineOutages []EngineOutage
	// ReportLoss is the part of what homes tell each other that is lost on the way, MaxReportDelay
	// how long the rest takes at most.
	ReportLoss     float64
	MaxReportDelay time.Duration
	// HomeReplacements are homes that are lost, with all that they know.
	HomeReplacements []HomeReplacement
}

// HomeReplacement puts a home that knows nothing in the place of another.
type HomeReplacement struct {
	Home int
	At   time.Duration
}

// EngineOutage takes the last engines out for a while.
type EngineOutage struct {
	Engines  int
	From, To time.Duration
}

// RouterStall holds up a router: its processor's share is used up, or its VM is paused.
type RouterStall struct {
	Router int
	At     time.Duration
	Length time.Duration
}

// Simulate plays a load under a policy. The same seed gives the same result.
func Simulate(l Load, s Fleet, p Policy) Result { return playWorld(l, s, p).sum() }

func playWorld(l Load, s Fleet, p Policy) *world {
	w := &world{
		clock: &clock{}, load: l, shape: s, byID: map[string]*engine{}, requests: map[uint64]*request{},
		rnd: rand.New(rand.NewPCG(l.Seed, 1)), result: Result{Policy: p, WorthByClass: map[string]float64{}},
		owed: newLedger(l.Sheet), gap: newGap(l.Sheet.Teams),
	}
	sheet := &l.Sheet.Engine
	for i := range s.Engines {
		e := newEngine(fmt.Sprintf("e%d", i), w.clock, sheet, sheet.Speeds[i%len(sheet.Speeds)])
		e.peers = w.byID
		w.engines = append(w.engines, e)
		w.byID[e.id] = e
	}
	for _, share := range s.RouterCPUs {
		w.routers = append(w.routers, newRouter(w.clock, share))
	}
	for _, stall := range s.RouterStalls {
		w.clock.after(stall.At, func() { w.routers[stall.Router].stall(stall.Length) })
	}
	w.decider = w.policy(p)
	for i, a := range l.arrivals(s.Routers) {
		if len(w.routers) > 0 {
			a.router = w.meets(a.team)
		}
		r := &request{arrival: a}
		r.parts = w.parts(r, uint64(i+1))
		// Callers' hints are right at the median and often far off.
		r.hint = max(1, int(lognormal(w.rnd, float64(a.output), 0.5)))
		w.owed.ask(r.at, r.team, w.worth(r, w.class(r).Worth), r.charge())
		w.clock.after(a.at, func() { w.arrive(r) })
	}
	w.clock.run(l.Duration + 20*time.Second)
	return w
}

// meets is the router that a caller of a team meets.
func (w *world) meets(team int) int {
	if slices.Contains(w.shape.SpreadTeams, team) {
		return w.rnd.IntN(len(w.routers))
	}
	return team % len(w.routers)
}

// parts names a request's prompt: group, session and its own.
func (w *world) parts(r *request, own uint64) []dispatch.Part {
	c := w.class(r)
	base := uint64(r.class+1) << 40
	group := r.session % c.Groups
	return []dispatch.Part{
		{ID: base | uint64(group), Tokens: int(c.GroupTokens)},
		{ID: base | 1<<20 | uint64(r.session), Tokens: int(c.SessionTokens)},
		{ID: base | 1<<39 | own, Tokens: r.own},
	}
}

func (w *world) class(r *request) *Class { return &w.load.Sheet.Classes[r.class] }

// charge is what teams' shares reckon with: tokens read and twice those generated.
func (r *request) charge() float64 { return float64(r.prompt()) + 2*float64(r.output) }

// inOrder are the requests' last attempts in the order of their names.
func (w *world) inOrder() []*request {
	out := make([]*request, 0, len(w.requests))
	for seq, r := range w.requests {
		if seq == r.seq {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b *request) int { return cmp.Compare(a.seq, b.seq) })
	return out
}

// worth grows with a request's size: three tenths are for any of its kind, the
// rest by tokens against the mean of the kind, up to four times the usual.
func (w *world) worth(r *request, usual float64) float64 {
	c := w.class(r)
	mean := c.GroupTokens + c.SessionTokens + c.OwnTokens + 10*c.OutputTokens
	size := (float64(r.prompt()) + 10*float64(r.output)) / mean
	return usual * min(0.3+0.7*size, 4)
}

func (w *world) arrive(r *request) {
	w.gap.at(w.clock.now, r.team).asked += r.charge()
	w.gap.largest = max(w.gap.largest, r.charge())
	w.clock.after(w.class(r).deadline(), func() { w.expire(r) })
	w.try(r)
}

// try sends an attempt, with a name of its own.
func (w *world) try(r *request) {
	w.seq++
	r.seq = w.seq
	r.tries++
	r.triedAt = w.clock.now
	w.requests[r.seq] = r
	if len(w.routers) > 0 {
		w.receive(r)
		return
	}
	w.decider.ask(r)
}

// left is the time until the caller gives up.
func (w *world) left(r *request) time.Duration { return r.at + w.class(r).deadline() - w.clock.now }

// decided acts on a decision, as a router does.
func (w *world) decided(r *request, d dispatch.Decision) {
	if d.Verdict == dispatch.Wait || r.ended || r.atEngine != nil || d.Ticket.Seq != r.seq && d.Ticket.Seq != 0 {
		return
	}
	r.asks = false
	if d.Verdict == dispatch.Refuse {
		w.refused(r, d.RetryAfter)
		return
	}
	r.sentAt = w.clock.now
	r.atEngine = &sequence{parts: r.parts, prompt: r.prompt(), output: r.output}
	r.atEngine.first = func() {
		r.first = w.clock.now
		second := w.gap.at(w.clock.now, r.team)
		second.began += r.charge()
		second.held = second.held || r.first-r.at > w.class(r).target()
		w.decider.started(r)
	}
	r.atEngine.done = func() { w.answered(r) }
	r.upstream = d.Upstream
	w.byID[d.Upstream].submit(r.atEngine, w.byID[d.CopyFrom])
}

// longestReturn is the part of the time left for which callers wait to come back.
const longestReturn = 3

// refused ends a request, or lets its caller come back when it was told to.
func (w *world) refused(r *request, after time.Duration) {
	w.gap.at(w.clock.now, r.team).held = true
	if r.tries <= w.load.MaxRetries {
		w.clock.after(min(after, w.left(r)/longestReturn), func() {
			if !r.ended {
				w.try(r)
			}
		})
		return
	}
	r.ended = true
	w.count(r, 0, &w.result.Refused)
}

// answered counts a whole answer.
func (w *world) answered(r *request) {
	if r.ended {
		return
	}
	r.ended = true
	c := w.class(r)
	w.decider.done(r, dispatch.Served, w.clock.now-r.sentAt)
	if r.first-r.at <= c.target() && r.atEngine.pause <= inMillis(w.load.Sheet.Engine.PauseMs) {
		w.count(r, c.Worth, &w.result.OnTime)
		return
	}
	w.count(r, c.LateWorth, &w.result.Late)
}

// expire gives a request up at its deadline.
func (w *world) expire(r *request) {
	if r.ended {
		return
	}
	r.ended = true
	if r.atEngine != nil {
		r.atEngine.cancelled = true
	}
	w.decider.done(r, dispatch.Cancelled, 0)
	w.count(r, 0, &w.result.TimedOut)
}

// count ends a request that earned so much of what its kind is worth.
func (w *world) count(r *request, earned float64, kind *float64) {
	*kind++
	w.result.asked++
	w.owed.earn(r.at, r.team, w.worth(r, earned))
	w.result.WorthByClass[w.class(r).Name] += earned
}

// leftOut is how many of the largest requests users leave out when they compare teams.
const leftOut = 3

// sum turns counts into parts.
func (w *world) sum() Result {
	res := w.result
	n := res.asked
	res.OnTime, res.Late, res.Refused, res.TimedOut = res.OnTime/n, res.Late/n, res.Refused/n, res.TimedOut/n
	asked := make([]int, len(w.load.Sheet.Classes))
	for _, r := range w.requests {
		asked[r.class]++
	}
	for i, c := range w.load.Sheet.Classes {
		res.WorthByClass[c.Name] /= float64(asked[i]) * c.Worth
	}
	res.Worth, res.SmallTeamsWorth = w.owed.all(), w.owed.small()
	res.FairShareWorth, res.WorstTeamsWorth, res.FairnessRatio = w.owed.owed(), w.owed.worst(), w.gap.worst()
	res.TrimmedFairnessRatio = w.gap.worstBeyond(leftOut)
	read, reread := 0, 0
	for _, e := range w.engines {
		read += e.read
		reread += e.reread
	}
	res.RedundantPrefill = float64(reread) / float64(max(read, 1))
	return res
}
