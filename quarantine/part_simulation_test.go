package quarantine_test

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/aspenswitch/aspenswitch/quarantine"
)

// partLoad describes a fleet and its requests.
type partLoad struct {
	routers, upstreams int
	// sound and bad are the rates of requests without and with a crashing part, per second.
	sound, bad float64
	// position is where the crashing part stands: 0 for the first.
	position int
	// crashingParts is the number of crashing parts; each bad request has one of them.
	crashingParts int
	// firstOutput is the mean time from sending a request to its first output, duration that from
	// there to its end.
	firstOutput, duration time.Duration
	restart               time.Duration
	// extraParts are further parts of a bad request, of a request of its own each.
	extraParts int
	// otherCrashes is the rate of crashes that no request causes.
	otherCrashes float64
	// otherUntil is the time after the start at which they end, 0 for never.
	otherUntil time.Duration
	// changed is set if the crashing parts were harmless before the first crash.
	changed bool
}

// partSimulation is a discrete-event simulation of a fleet whose upstreams crash on prompts with
// some parts. Routers report crashes, successes and notices as package fleet does.
type partSimulation struct {
	partLoad
	cfg       quarantine.Config
	rnd       *rand.Rand
	now       time.Duration
	queue     eventQueue
	tables    []*quarantine.Table
	started   []*quarantine.RecentSuccesses
	upstreams []*partUpstream
	// incarnations is the number of incarnations so far, requests that of requests.
	incarnations uint32
	requests     int
	badFrom, end time.Duration

	crashes, badSends []time.Duration
	// wrongHolds is the number of quarantines of parts that crash nothing, refused that of sound
	// requests refused for it. messages is the number of messages between routers.
	wrongHolds, refused, messages int
	// sent and served count first attempts of sound requests by second.
	sent, served map[int]int
}

type partUpstream struct {
	incarnation uint32
	up          bool
	running     map[*partRequest]bool
}

type partRequest struct {
	keys     []quarantine.Key
	bad      bool
	router   int
	sent     time.Duration
	attempts int
	begun    bool
	second   int
}

func newPartSimulation(seed uint64, cfg quarantine.Config, load partLoad) *partSimulation {
	s := &partSimulation{
		partLoad: load, cfg: cfg, rnd: rand.New(rand.NewPCG(seed, 1)), now: start,
		badFrom: start + 5*second, sent: map[int]int{}, served: map[int]int{},
	}
	for range load.routers {
		s.tables = append(s.tables, quarantine.NewTable(cfg))
		s.started = append(s.started, quarantine.NewRecentSuccesses(quarantine.MaxSuccesses))
	}
	for range load.upstreams {
		u := &partUpstream{}
		s.upstreams = append(s.upstreams, u)
		s.startUpstream(u)
	}
	return s
}

func (s *partSimulation) startUpstream(u *partUpstream) {
	s.incarnations++
	u.incarnation, u.up, u.running = s.incarnations, true, map[*partRequest]bool{}
}

func (s *partSimulation) after(d time.Duration, do func()) {
	heap.Push(&s.queue, simEvent{s.now + d, do})
}

// repeat calls do as a Poisson process with the given rate from a time to the end.
func (s *partSimulation) repeat(rate float64, from time.Duration, do func()) {
	if rate <= 0 {
		return
	}
	var next func()
	next = func() {
		if s.now < s.end {
			do()
			s.after(time.Duration(s.rnd.ExpFloat64()/rate*float64(second)), next)
		}
	}
	s.after(from-s.now, next)
}

func (s *partSimulation) run(length time.Duration) {
	s.end = start + length
	s.repeat(s.sound, start, func() { s.request(false) })
	s.repeat(s.bad, s.badFrom, func() { s.request(true) })
	if s.changed {
		s.repeat(s.bad, start, func() {
			if s.now < s.badFrom {
				s.request(true)
			}
		})
	}
	s.repeat(s.otherCrashes, s.badFrom, func() {
		if s.otherUntil > 0 && s.now > start+s.otherUntil {
			return
		}
		s.crash(s.upstreams[s.rnd.IntN(len(s.upstreams))])
	})
	for len(s.queue) > 0 && s.queue[0].at <= s.end {
		e := heap.Pop(&s.queue).(simEvent)
		s.now = e.at
		e.do()
	}
}

// Parts that prompts share: one of two first parts, one of 40 subjects, one of 400 sessions.
func (s *partSimulation) sharedParts() []quarantine.Key {
	return []quarantine.Key{
		quarantine.NewPartKey(uint64(1 + s.rnd.IntN(2))),
		quarantine.NewPartKey(uint64(100 + int(40*math.Pow(s.rnd.Float64(), 2)))),
		quarantine.NewPartKey(uint64(1000 + s.rnd.IntN(400))),
	}
}

// crashingPartKey returns the key of the n-th crashing part.
func crashingPartKey(n int) quarantine.Key { return quarantine.NewPartKey(uint64(10 + n)) }

func (s *partSimulation) isCrashing(k quarantine.Key) bool {
	return k.Hash >= 10 && k.Hash < uint64(10+s.crashingParts)
}

func (s *partSimulation) request(bad bool) {
	r := &partRequest{keys: s.sharedParts(), bad: bad, router: s.rnd.IntN(s.routers), second: int((s.now - start) / second)}
	if bad {
		r.keys[0] = quarantine.NewPartKey(1)
		r.keys[s.position] = crashingPartKey(s.rnd.IntN(max(s.crashingParts, 1)))
		for range s.extraParts {
			s.requests++
			r.keys = append(r.keys, quarantine.NewPartKey(uint64(1<<20+s.requests)))
		}
	} else {
		s.sent[r.second]++
	}
	s.attempt(r)
}

// held returns the keys of a request that are in quarantine at its router.
func (s *partSimulation) held(r *partRequest) []quarantine.Key {
	view := s.tables[r.router].View()
	var held []quarantine.Key
	for _, k := range r.keys {
		if view.Status(k) == quarantine.Quarantined {
			held = append(held, k)
		}
	}
	return held
}

// grantTrial grants a trial of all keys if one of each is due.
func (s *partSimulation) grantTrial(r *partRequest, keys []quarantine.Key) bool {
	for _, k := range keys {
		if !s.tables[r.router].TrialDue(s.now, k) || !s.tables[s.hub(k)].TrialDue(s.now, k) {
			return false
		}
	}
	for _, k := range keys {
		s.tables[s.hub(k)].GrantTrial(s.now, k)
	}
	return true
}

func (s *partSimulation) attempt(r *partRequest) {
	if held := s.held(r); len(held) > 0 && (r.attempts > 0 || !s.grantTrial(r, held)) {
		if !r.bad {
			s.refused++
		}
		return
	}
	u := s.upstreams[s.rnd.IntN(len(s.upstreams))]
	for tries := 0; !u.up && tries < 3; tries++ {
		u = s.upstreams[s.rnd.IntN(len(s.upstreams))]
	}
	if !u.up {
		return
	}
	r.attempts++
	r.sent, r.begun = s.now, false
	u.running[r] = true
	if r.bad {
		s.badSends = append(s.badSends, s.now)
	}
	incarnation := u.incarnation
	running := func() bool { return u.up && u.incarnation == incarnation }
	s.after(s.about(s.firstOutput), func() {
		if !running() {
			return
		}
		if r.bad && s.now >= s.badFrom {
			s.crash(u)
			return
		}
		s.begin(r)
		s.after(s.about(s.duration), func() {
			if running() {
				delete(u.running, r)
			}
		})
	})
}

// about returns a random time around a mean.
func (s *partSimulation) about(mean time.Duration) time.Duration {
	return time.Duration((0.3 + 1.4*s.rnd.Float64()) * float64(mean))
}

// begin records that the answer to a request has started.
func (s *partSimulation) begin(r *partRequest) {
	r.begun = true
	if !r.bad && r.attempts == 1 {
		s.served[r.second]++
	}
	for _, k := range r.keys {
		s.started[r.router].Add(s.now, k)
		if s.tables[r.router].View().HasCrashes(k) {
			s.clear(r.router, k)
		}
	}
}

func (s *partSimulation) clear(router int, k quarantine.Key) {
	s.report(router, k, func(t *quarantine.Table) (quarantine.Notice, bool) { return t.Clear(s.now, k) })
}

// crash interrupts all requests on an upstream, which restarts later.
func (s *partSimulation) crash(u *partUpstream) {
	if !u.up {
		return
	}
	u.up = false
	s.crashes = append(s.crashes, s.now)
	interrupted := make([]*partRequest, 0, len(u.running))
	for r := range u.running {
		interrupted = append(interrupted, r)
	}
	slices.SortFunc(interrupted, func(a, b *partRequest) int { return int(a.sent - b.sent) })
	for _, r := range interrupted {
		if !r.begun {
			s.reportCrash(r, u.incarnation)
		}
		if r.attempts < 2 && !r.begun {
			s.after(s.delay(), func() { s.attempt(r) })
		}
	}
	s.after(s.about(s.restart), func() { s.startUpstream(u) })
}

func (s *partSimulation) reportCrash(r *partRequest, incarnation uint32) {
	sent := r.sent
	for _, k := range r.keys {
		c := quarantine.Crash{ID: k, Team: "schools", Upstream: incarnation, Sent: sent}
		s.report(r.router, k, func(t *quarantine.Table) (quarantine.Notice, bool) { return t.RecordCrash(s.now, c) })
	}
}

// report updates the tables of the observing router and of the key's hub.
func (s *partSimulation) report(router int, k quarantine.Key, update func(*quarantine.Table) (quarantine.Notice, bool)) {
	s.update(router, update)
	if hub := s.hub(k); hub != router {
		s.messages++
		s.after(s.delay(), func() { s.update(hub, update) })
	}
}

// hub returns the router that counts the crashes of a key: one of at most twelve.
func (s *partSimulation) hub(k quarantine.Key) int {
	return int(k.Hash*2654435761) % min(12, s.routers)
}

// update updates a router's table and notifies the other routers of a status change.
func (s *partSimulation) update(router int, update func(*quarantine.Table) (quarantine.Notice, bool)) {
	notice, changed := update(s.tables[router])
	if !changed {
		return
	}
	if notice.Status == quarantine.Quarantined && notice.FailedTrials == 0 && !s.isCrashing(notice.ID) {
		s.wrongHolds++
	}
	s.noticed(router, notice)
	if notice.Status == quarantine.Normal && router != s.hub(notice.ID) {
		return // the hub announces it
	}
	for i, other := range s.tables {
		if i != router {
			s.messages++
			s.after(s.delay(), func() {
				if other.Apply(s.now, notice) {
					s.noticed(i, notice)
				}
			})
		}
	}
}

// noticed reports a success that the router observed shortly before a quarantine.
func (s *partSimulation) noticed(router int, n quarantine.Notice) {
	switch {
	case n.Status != quarantine.Quarantined:
	case s.started[router].SucceededWithin(s.now, n.ID, quarantine.PartSuccessWindow):
		s.clear(router, n.ID)
	case s.started[router].SucceededWithin(s.now, n.ID, quarantine.ProvenWindow):
		s.tables[router].SetProven(s.now, n.ID)
	}
}

func (s *partSimulation) delay() time.Duration {
	return time.Duration(1+s.rnd.IntN(10)) * time.Millisecond
}

// late returns the number of bad requests that were sent later than 3 s after the fifth crash.
func (s *partSimulation) late() int {
	if len(s.crashes) < 5 {
		return 0
	}
	n := 0
	for _, at := range s.badSends {
		if at > s.crashes[4]+3*second {
			n++
		}
	}
	return n
}

// share returns the share of sound requests that were served at the first attempt.
func (s *partSimulation) share(from, to int) float64 {
	sent, served := 0, 0
	for i := from; i < to; i++ {
		sent += s.sent[i]
		served += s.served[i]
	}
	return float64(served) / float64(max(sent, 1))
}

var partLoads = map[string]partLoad{
	"6 routers, 12 upstreams":        {routers: 6, upstreams: 12, sound: 120, bad: 17, position: 1, crashingParts: 1, firstOutput: 120 * time.Millisecond, duration: 400 * time.Millisecond, restart: 700 * time.Millisecond},
	"crashing part first":            {routers: 6, upstreams: 12, sound: 120, bad: 17, position: 0, crashingParts: 1, firstOutput: 120 * time.Millisecond, duration: 400 * time.Millisecond, restart: 700 * time.Millisecond},
	"crashing part last but one":     {routers: 6, upstreams: 18, sound: 200, bad: 10, position: 2, crashingParts: 1, firstOutput: 300 * time.Millisecond, duration: 800 * time.Millisecond, restart: 3 * time.Second},
	"few sound requests":             {routers: 3, upstreams: 12, sound: 8, bad: 17, position: 1, crashingParts: 1, firstOutput: 120 * time.Millisecond, duration: 200 * time.Millisecond, restart: 700 * time.Millisecond},
	"slow engines":                   {routers: 6, upstreams: 18, sound: 60, bad: 5, position: 1, crashingParts: 1, firstOutput: 900 * time.Millisecond, duration: 2 * time.Second, restart: 3 * time.Second},
	"one bad request in two seconds": {routers: 6, upstreams: 18, sound: 200, bad: 0.5, position: 1, crashingParts: 1, firstOutput: 300 * time.Millisecond, duration: 800 * time.Millisecond, restart: 3 * time.Second},
	"two crashingParts":              {routers: 6, upstreams: 18, sound: 200, bad: 17, position: 1, crashingParts: 2, firstOutput: 200 * time.Millisecond, duration: 600 * time.Millisecond, restart: time.Second},
	"fifteen parts a request":        {routers: 6, upstreams: 18, sound: 200, bad: 17, position: 1, crashingParts: 1, extraParts: 12, firstOutput: 200 * time.Millisecond, duration: 600 * time.Millisecond, restart: time.Second},
	"harmless before":                {routers: 6, upstreams: 18, sound: 200, bad: 10, position: 1, crashingParts: 1, changed: true, firstOutput: 200 * time.Millisecond, duration: 600 * time.Millisecond, restart: 2 * time.Second},
	"crashes for other reasons":      {routers: 6, upstreams: 18, sound: 200, otherCrashes: 4, firstOutput: 300 * time.Millisecond, duration: 800 * time.Millisecond, restart: 3 * time.Second},
	"few requests, many crashes":     {routers: 3, upstreams: 12, sound: 10, otherCrashes: 10, firstOutput: 300 * time.Millisecond, duration: 500 * time.Millisecond, restart: time.Second},
	"both":                           {routers: 6, upstreams: 18, sound: 200, bad: 8, otherCrashes: 3, position: 1, crashingParts: 1, firstOutput: 300 * time.Millisecond, duration: 800 * time.Millisecond, restart: 2 * time.Second},
	"64 requests at an upstream":     {routers: 60, upstreams: 20, sound: 1500, bad: 17, position: 1, crashingParts: 1, firstOutput: 250 * time.Millisecond, duration: 600 * time.Millisecond, restart: 2 * time.Second},
	"160 upstreams":                  {routers: 295, upstreams: 160, sound: 1500, bad: 30, position: 1, crashingParts: 1, firstOutput: 250 * time.Millisecond, duration: 600 * time.Millisecond, restart: 2 * time.Second},
	"1168 routers":                   {routers: 1168, upstreams: 600, sound: 1500, bad: 30, position: 1, crashingParts: 1, firstOutput: 250 * time.Millisecond, duration: 600 * time.Millisecond, restart: 2 * time.Second},
	"584 routers":                    {routers: 584, upstreams: 300, sound: 1500, bad: 30, position: 1, crashingParts: 1, firstOutput: 250 * time.Millisecond, duration: 600 * time.Millisecond, restart: 2 * time.Second},
}

// outageLoad has upstreams that crash every 0.3 s for ten seconds, whatever they run.
var outageLoad = partLoad{routers: 6, upstreams: 12, sound: 100, otherCrashes: 40, otherUntil: 15 * second, firstOutput: 300 * time.Millisecond, duration: 500 * time.Millisecond, restart: 700 * time.Millisecond}

// maxRefusedShare is the share of sound requests that wrong quarantines may refuse.
const maxRefusedShare = 0.02

// Guards against a part that keeps crashing upstreams, and against refusing sound requests for it or
// for upstreams that crash by themselves.
func TestCrashingPartIsQuarantinedAndNoOther(t *testing.T) {
	const calm, settled, end = 5, 12, 40
	for name, load := range partLoads {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(4) {
				g := NewWithT(t)
				s := newPartSimulation(seed, quarantine.DefaultConfig(), load)
				s.run(end * second)
				before, after := s.share(0, calm), s.share(settled, end)
				t.Logf("seed %d: %d crashes, %d late sends, %d wrong quarantines, %d of %.0f sound requests refused, first attempts served %.2f before, %.2f from 7 s on, %d messages",
					seed, len(s.crashes), s.late(), s.wrongHolds, s.refused, load.sound*end, before, after, s.messages)
				if load.otherCrashes == 0 {
					g.Expect(s.late()).To(BeNumerically("<=", 3))
					g.Expect(after).To(BeNumerically(">=", before/2))
				}
				g.Expect(float64(s.refused)).To(BeNumerically("<=", maxRefusedShare*load.sound*end))
			}
		})
	}
}

// Guards against parts that stay refused once upstreams that crashed all along are sound again.
func TestPartsAreServedAfterAnOutage(t *testing.T) {
	for seed := range uint64(20) {
		g := NewWithT(t)
		s := newPartSimulation(seed, quarantine.DefaultConfig(), outageLoad)
		s.run(60 * second)
		t.Logf("seed %d: served %.2f in the outage, %.2f in the 15 s after it, %.2f then", seed, s.share(6, 15), s.share(16, 31), s.share(31, 60))
		g.Expect(s.share(31, 60)).To(BeNumerically(">=", 0.95))
		g.Expect(s.share(16, 31)).To(BeNumerically(">=", 0.5))
	}
}
