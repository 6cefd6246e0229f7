package lab

import (
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
	engines  []*engine
	byID     map[string]*engine
	requests map[uint64]*request
	decider  policy
	rnd      *rand.Rand
	result   Result
	perTeam  [teams][2]float64
}

// request is a caller's request in the lab.
type request struct {
	arrival
	seq    uint64
	parts  []dispatch.Part
	hint   int
	local  int
	asked  time.Duration
	sentAt time.Duration
	first  time.Duration
	at     *sequence
	ended  bool
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
	// Worth is earned over offered; ByClass the same for each kind, SmallTeams
	// for the teams below the median size.
	Worth      float64
	ByClass    map[string]float64
	SmallTeams float64
	// OnTime, Late, Refused, Cut are parts of the requests.
	OnTime, Late, Refused, Cut float64
	// Reread is the part of the tokens read that shared parts read again took.
	Reread float64
}

// Shape is the lab's fleet.
type Shape struct{ Engines, Routers int }

// speeds of the engines differ as on the data sheet.
var speeds = []float64{1, 1, 1.3}

// Play plays a load under a policy. The same seed gives the same result.
func Play(l Load, s Shape, p Policy) Result {
	w := &world{
		clock: &clock{}, load: l, byID: map[string]*engine{}, requests: map[uint64]*request{},
		rnd: rand.New(rand.NewPCG(l.Seed, 1)), result: Result{Policy: p, ByClass: map[string]float64{}},
	}
	for i := range s.Engines {
		e := newEngine(fmt.Sprintf("e%d", i), w.clock, speeds[i%len(speeds)])
		e.peers = w.byID
		w.engines = append(w.engines, e)
		w.byID[e.id] = e
	}
	w.decider = w.policy(p)
	for i, a := range l.arrivals(s.Routers) {
		r := &request{arrival: a, seq: uint64(i + 1)}
		r.parts = w.parts(r)
		// Callers' hints are right at the median and often far off.
		r.hint = max(1, int(lognormal(w.rnd, float64(a.output), 0.5)))
		w.requests[r.seq] = r
		w.clock.after(a.at, func() { w.arrive(r) })
	}
	w.clock.run(l.Length + 20*time.Second)
	return w.sum()
}

// parts names a request's prompt: group, session and its own.
func (w *world) parts(r *request) []dispatch.Part {
	c := w.load.Classes[r.class]
	base := uint64(r.class+1) << 40
	group := r.session % c.Groups
	return []dispatch.Part{
		{ID: base | uint64(group), Tokens: int(c.Group)},
		{ID: base | 1<<20 | uint64(r.session), Tokens: int(c.Session)},
		{ID: base | 1<<39 | r.seq, Tokens: r.own},
	}
}

func (w *world) arrive(r *request) {
	r.asked = w.clock.now
	w.clock.after(w.load.Classes[r.class].Deadline, func() { w.expire(r) })
	w.decider.ask(r)
}

// decided acts on a decision, as a router does.
func (w *world) decided(r *request, d dispatch.Decision) {
	if d.Verdict == dispatch.Wait || r.ended || r.at != nil {
		return
	}
	if d.Verdict == dispatch.Refuse {
		r.ended = true
		w.count(r, 0, &w.result.Refused)
		return
	}
	r.sentAt = w.clock.now
	r.at = &sequence{parts: r.parts, prompt: r.prompt(), output: r.output}
	r.at.first = func() {
		r.first = w.clock.now
		w.decider.started(r)
	}
	r.at.done = func() { w.answered(r) }
	w.byID[d.Upstream].submit(r.at, w.byID[d.CopyFrom])
}

// answered counts a whole answer.
func (w *world) answered(r *request) {
	if r.ended {
		return
	}
	r.ended = true
	c := w.load.Classes[r.class]
	w.decider.done(r, dispatch.Served, w.clock.now-r.sentAt)
	if r.first-r.asked <= c.Aim && r.at.pause <= longestPause {
		w.count(r, c.Worth, &w.result.OnTime)
		return
	}
	w.count(r, c.Lateful, &w.result.Late)
}

// expire gives a request up at its deadline.
func (w *world) expire(r *request) {
	if r.ended {
		return
	}
	r.ended = true
	if r.at != nil {
		r.at.cancelled = true
	}
	w.decider.done(r, dispatch.Cancelled, 0)
	w.count(r, 0, &w.result.Cut)
}

func (w *world) count(r *request, earned float64, kind *float64) {
	*kind++
	w.perTeam[r.team][0] += earned
	w.perTeam[r.team][1] += w.load.Classes[r.class].Worth
	name := w.load.Classes[r.class].Name
	w.result.ByClass[name] += earned
}

// sum turns counts into parts.
func (w *world) sum() Result {
	res := w.result
	n := float64(len(w.requests))
	res.OnTime, res.Late, res.Refused, res.Cut = res.OnTime/n, res.Late/n, res.Refused/n, res.Cut/n
	asked := make([]int, len(w.load.Classes))
	for _, r := range w.requests {
		asked[r.class]++
	}
	earned, offered := 0.0, 0.0
	for i, c := range w.load.Classes {
		all := float64(asked[i]) * c.Worth
		earned += res.ByClass[c.Name]
		offered += all
		res.ByClass[c.Name] /= all
	}
	res.Worth = earned / offered
	res.SmallTeams = w.smallTeams()
	read, reread := 0, 0
	for _, e := range w.engines {
		read += e.read
		reread += e.reread
	}
	res.Reread = float64(reread) / float64(max(read, 1))
	return res
}

// smallTeams is the worth that the smaller half of the teams got.
func (w *world) smallTeams() float64 {
	byOffer := w.perTeam[:]
	byOffer = slices.Clone(byOffer)
	slices.SortFunc(byOffer, func(a, b [2]float64) int {
		if a[1] < b[1] {
			return -1
		}
		return 1
	})
	earned, offered := 0.0, 0.0
	for _, t := range byOffer[:teams/2] {
		earned += t[0]
		offered += t[1]
	}
	return earned / max(offered, 1)
}
