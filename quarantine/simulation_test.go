package quarantine_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/aspenswitch/aspenswitch/quarantine"
)

// simulation is a discrete-event simulation of a fleet: routers with a table each, and
// upstreams that crash and restart.
type simulation struct {
	rnd       *rand.Rand
	now       time.Duration
	queue     eventQueue
	tables    []*quarantine.Table
	successes []*quarantine.RecentSuccesses
	upstreams []*simUpstream
	// lastIncarnation is the latest incarnation number given to an upstream.
	lastIncarnation uint32
	// crashingID is the content that crashes every upstream that handles it.
	crashingID quarantine.Key
	// crashTimes and sendTimes are when requests with crashingID crashed an upstream and
	// were sent. rejected and total count the other requests.
	crashTimes, sendTimes []time.Duration
	rejected, total       int
	// trialTimes are when trials with crashingID were sent; sendTimes excludes them.
	trialTimes []time.Duration
}

type simUpstream struct {
	incarnation uint32
	up          bool
	running     []*simRequest
}

type simRequest struct {
	id       quarantine.Key
	router   int
	sent     time.Duration
	upstream *simUpstream
	attempts int
	trial    bool
}

type simEvent struct {
	at time.Duration
	do func()
}

type eventQueue []simEvent

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(simEvent)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func (s *simulation) after(d time.Duration, do func()) { heap.Push(&s.queue, simEvent{s.now + d, do}) }

func newSimulation(seed uint64, routers, upstreams int) *simulation {
	s := &simulation{rnd: rand.New(rand.NewPCG(seed, 0)), now: start, crashingID: newContentKey(0)}
	for range routers {
		s.tables = append(s.tables, quarantine.NewTable(quarantine.DefaultConfig()))
		s.successes = append(s.successes, quarantine.NewRecentSuccesses(quarantine.MaxSuccesses))
	}
	for range upstreams {
		u := &simUpstream{}
		s.upstreams = append(s.upstreams, u)
		s.startUpstream(u)
	}
	return s
}

func (s *simulation) startUpstream(u *simUpstream) {
	s.lastIncarnation++
	u.incarnation, u.up, u.running = s.lastIncarnation, true, nil
}

func (s *simulation) run(until time.Duration) {
	for len(s.queue) > 0 && s.queue[0].at <= until {
		e := heap.Pop(&s.queue).(simEvent)
		s.now = e.at
		e.do()
	}
}

// repeat calls do as a Poisson process with the given rate until the given time.
func (s *simulation) repeat(perSecond float64, until time.Duration, do func()) {
	s.after(time.Duration(s.rnd.ExpFloat64()/perSecond*float64(second)), func() {
		if s.now < until {
			do()
			s.repeat(perSecond, until, do)
		}
	})
}

// request sends a new request to a random router.
func (s *simulation) request(id quarantine.Key) {
	s.attempt(&simRequest{id: id, router: s.rnd.IntN(len(s.tables))})
}

// attempt sends a request to a random upstream unless its content is in quarantine.
func (s *simulation) attempt(r *simRequest) {
	if r.id != s.crashingID && r.attempts == 0 {
		s.total++
	}
	if s.tables[r.router].View().Status(r.id) == quarantine.Quarantined {
		r.trial = r.attempts == 0 && s.tables[s.hub(r.id)].GrantTrial(s.now, r.id)
		if !r.trial {
			if r.id != s.crashingID {
				s.rejected++
			}
			return
		}
	}
	u := s.upstreams[s.rnd.IntN(len(s.upstreams))]
	if !u.up {
		return
	}
	r.attempts++
	r.sent, r.upstream = s.now, u
	u.running = append(u.running, r)
	incarnation := u.incarnation
	switch {
	case r.id != s.crashingID:
	case r.trial:
		s.trialTimes = append(s.trialTimes, s.now)
	default:
		s.sendTimes = append(s.sendTimes, s.now)
	}
	s.after(time.Duration(50+s.rnd.IntN(400))*time.Millisecond, func() {
		if u.incarnation != incarnation || !u.up {
			return
		}
		if r.id == s.crashingID {
			s.crashTimes = append(s.crashTimes, s.now)
			s.crash(u)
			return
		}
		u.running = slices.DeleteFunc(u.running, func(other *simRequest) bool { return other == r })
		s.successes[r.router].Add(s.now, r.id)
		if s.tables[r.router].View().HasCrashes(r.id) {
			s.report(r.router, r.id, func(t *quarantine.Table) (quarantine.Notice, bool) { return t.Clear(s.now, r.id) })
		}
	})
}

// crash interrupts all requests on an upstream, which restarts 3 s later.
func (s *simulation) crash(u *simUpstream) {
	u.up = false
	for _, r := range u.running {
		s.interrupted(r, u.incarnation)
	}
	s.after(3*second, func() { s.startUpstream(u) })
}

// interrupted reports a crash and retries the request if its status allows it.
func (s *simulation) interrupted(r *simRequest, incarnation uint32) {
	c := quarantine.Crash{ID: r.id, Upstream: incarnation, Sent: r.sent}
	s.report(r.router, r.id, func(t *quarantine.Table) (quarantine.Notice, bool) { return t.RecordCrash(s.now, c) })
	if r.attempts < 2 && s.tables[r.router].View().Status(r.id) == quarantine.Normal {
		retry := &simRequest{id: r.id, router: r.router, attempts: r.attempts}
		s.after(s.delay(), func() { s.attempt(retry) })
	}
}

// report updates the tables of the observing router and of the content's hub.
func (s *simulation) report(router int, id quarantine.Key, update func(*quarantine.Table) (quarantine.Notice, bool)) {
	s.update(router, update)
	if hub := s.hub(id); hub != router {
		s.after(s.delay(), func() { s.update(hub, update) })
	}
}

// hub returns the router that counts the crashes of a content and grants its trials.
func (s *simulation) hub(id quarantine.Key) int { return int(id.Hash % uint64(len(s.tables))) }

// update updates a router's table and notifies the other routers of a status change.
func (s *simulation) update(router int, update func(*quarantine.Table) (quarantine.Notice, bool)) {
	notice, changed := update(s.tables[router])
	if !changed {
		return
	}
	s.clearIfSucceeded(router, notice)
	for i, other := range s.tables {
		if i != router {
			s.after(s.delay(), func() {
				if other.Apply(s.now, notice) {
					s.clearIfSucceeded(i, notice)
				}
			})
		}
	}
}

// clearIfSucceeded reports a success that the router observed shortly before the notice.
func (s *simulation) clearIfSucceeded(router int, notice quarantine.Notice) {
	if notice.Status != quarantine.Normal && s.successes[router].SucceededWithin(s.now, notice.ID, quarantine.SuccessWindow) {
		s.report(router, notice.ID, func(t *quarantine.Table) (quarantine.Notice, bool) { return t.Clear(s.now, notice.ID) })
	}
}

// delay returns a random network delay.
func (s *simulation) delay() time.Duration {
	return time.Duration(1+s.rnd.IntN(20)) * time.Millisecond
}

// addBackgroundLoad sends 250 requests per second. One in ten has one of 20 shared contents;
// the others have unique contents.
func (s *simulation) addBackgroundLoad(until time.Duration) {
	unique := 1000
	s.repeat(250, until, func() {
		unique++
		id := newContentKey(unique)
		if s.rnd.IntN(10) == 0 {
			id = newContentKey(1 + s.rnd.IntN(20))
		}
		s.request(id)
	})
}

// Guards against a request that keeps crashing upstreams, and against rejecting other requests for it.
func TestOneRequestAmongManyIsQuarantined(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			g := NewWithT(t)
			s := newSimulation(seed, 6, 18)
			end := start + 30*second
			s.addBackgroundLoad(end)
			s.after(5*second, func() { s.repeat(8, end, func() { s.request(s.crashingID) }) })
			s.run(end)
			t.Logf("%d crashes, %d of %d other requests rejected", len(s.crashTimes), s.rejected, s.total)
			g.Expect(len(s.crashTimes)).To(BeNumerically(">=", 3))
			countLate := func(times []time.Duration) int {
				n := 0
				for _, sent := range times {
					if sent > s.crashTimes[2]+3*second {
						n++
					}
				}
				return n
			}
			g.Expect(countLate(s.sendTimes)).To(BeZero())
			g.Expect(countLate(s.trialTimes)).To(BeNumerically("<=", 3))
			g.Expect(s.rejected).To(BeZero())
		})
	}
}

// Guards against quarantining shared contents when a third of the upstreams crashes for other reasons.
func TestUnrelatedCrashesQuarantineNothing(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			g := NewWithT(t)
			s := newSimulation(seed, 6, 18)
			end := start + 30*second
			s.addBackgroundLoad(end)
			for _, wave := range []time.Duration{8 * second, 12 * second, 16 * second} {
				for i := range 6 {
					// Crashes are spaced so that each is counted separately.
					s.after(wave+time.Duration(i)*60*time.Millisecond, func() {
						if u := s.upstreams[s.rnd.IntN(len(s.upstreams))]; u.up {
							s.crash(u)
						}
					})
				}
			}
			s.run(end)
			t.Logf("%d of %d requests rejected", s.rejected, s.total)
			g.Expect(s.rejected).To(BeZero())
		})
	}
}

// Guards against a content that stays in quarantine after it stops crashing upstreams.
func TestContentThatStopsCrashingUpstreamsLeavesQuarantine(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			g := NewWithT(t)
			s := newSimulation(seed, 5, 6)
			shared := newContentKey(1)
			end := start + 40*second
			s.repeat(4, end, func() { s.request(shared) })
			s.after(5*second, func() { s.crashingID = shared })
			s.after(7*second, func() { s.crashingID = newContentKey(0) })
			s.run(end)
			t.Logf("%d crashes, %d requests rejected", len(s.crashTimes), s.rejected)
			for _, table := range s.tables {
				g.Expect(table.View().Status(shared)).To(Equal(quarantine.Normal))
			}
		})
	}
}
