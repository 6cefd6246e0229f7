package dispatch_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/aspenswitch/aspenswitch/dispatch"
)

// serviceSimulation drives a core for upstreams of a plain service in virtual time.
type serviceSimulation struct {
	c           *dispatch.Core
	rnd         *rand.Rand
	now         time.Duration
	seq         uint64
	completions completionHeap
	submittedAt map[uint64]time.Duration
	waits       []time.Duration
	refused     int
	sentTo      map[string]int
	// failureRate returns the fraction of an upstream's requests that fail.
	failureRate func(upstream string) float64
	// timeoutRate is the fraction of requests that run past their deadline; hungUpstream
	// never answers.
	timeoutRate  float64
	hungUpstream string
	// machines, if set, are the speeds of the upstreams, and late counts the answers after the target.
	machines map[string]*sharedMachine
	late     int
	// stated, if set, is what the upstreams state in their answers.
	stated    func(upstream string) dispatch.LoadReport
	onTick    func()
	sentToSeq map[uint64]string
}

// requestTimeout is the timeout of all requests, serviceTarget the target of their answers.
const (
	requestTimeout = 400 * time.Millisecond
	serviceTarget  = 150 * time.Millisecond
)

// completion is the end of a request at an upstream.
type completion struct {
	at   time.Duration
	seq  uint64
	took time.Duration
	o    dispatch.Outcome
}

type completionHeap []completion

func (h completionHeap) Len() int           { return len(h) }
func (h completionHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h completionHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *completionHeap) Push(x any)        { *h = append(*h, x.(completion)) }
func (h *completionHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

func newServiceSimulation(upstreams, slots int) *serviceSimulation {
	return newServiceSimulationWith(dispatch.DefaultConfig(false), upstreams, slots)
}

func newServiceSimulationWith(cfg dispatch.Config, upstreams, slots int) *serviceSimulation {
	c := dispatch.New(cfg)
	var members []dispatch.Member
	for i := range upstreams {
		members = append(members, dispatch.Member{Incarnation: incarnation(fmt.Sprint("p", i)), Slots: slots})
	}
	c.SetMembers(0, members)
	return &serviceSimulation{
		c: c, rnd: rand.New(rand.NewPCG(1, 1)), submittedAt: map[uint64]time.Duration{}, sentTo: map[string]int{}, sentToSeq: map[uint64]string{},
		failureRate: func(string) float64 { return 0 },
	}
}

// serviceTime draws a service time with a mean of 35 ms: 30 ms at the upstream plus
// network latency.
func (s *serviceSimulation) serviceTime() time.Duration {
	const mean, spread = 35, 0.5
	ms := mean * math.Exp(spread*s.rnd.NormFloat64()-spread*spread/2)
	return time.Duration(ms * float64(time.Millisecond))
}

func (s *serviceSimulation) handle(ds []dispatch.Decision) {
	for _, d := range ds {
		switch d.Verdict {
		case dispatch.Refuse:
			s.refused++
		case dispatch.Send:
			s.waits = append(s.waits, s.now-s.submittedAt[d.Ticket.Seq])
			s.sentTo[d.Upstream]++
			took := s.serviceTime()
			if m := s.machines[d.Upstream]; m != nil {
				took = time.Duration(float64(took) * m.speed * m.slowdown(s.now))
			}
			s.sentToSeq[d.Ticket.Seq] = d.Upstream
			o := dispatch.Served
			if s.rnd.Float64() < s.failureRate(d.Upstream) {
				o = dispatch.Failed
			}
			if s.rnd.Float64() < s.timeoutRate || d.Upstream == s.hungUpstream {
				o, took = dispatch.TimedOut, requestTimeout
			}
			heap.Push(&s.completions, completion{at: s.now + took, seq: d.Ticket.Seq, took: took, o: o})
		}
	}
}

// run submits requests at a mean rate for a duration.
func (s *serviceSimulation) run(perSecond float64, duration time.Duration) {
	until := s.now + duration
	next := s.now
	for tick := s.now; tick < until; tick += 10 * time.Millisecond {
		for {
			end, submit := time.Duration(math.MaxInt64), next
			if len(s.completions) > 0 {
				end = s.completions[0].at
			}
			if min(end, submit) > tick {
				break
			}
			if end <= submit {
				e := heap.Pop(&s.completions).(completion)
				s.now = e.at
				s.answer(e)
				s.handle(s.c.Done(s.now, ticket(e.seq), e.o, e.took))
				continue
			}
			s.now = submit
			s.seq++
			s.submittedAt[s.seq] = s.now
			s.handle(s.c.Submit(s.now, dispatch.Request{Ticket: ticket(s.seq), Team: "a", Target: serviceTarget, Timeout: requestTimeout}))
			next += time.Duration(s.rnd.ExpFloat64() / perSecond * float64(time.Second))
		}
		s.now = tick
		if s.onTick != nil {
			s.onTick()
		}
		s.handle(s.c.Tick(s.now))
	}
}

// answer reports the first byte of an answer.
func (s *serviceSimulation) answer(e completion) {
	if s.now-s.submittedAt[e.seq] > serviceTarget {
		s.late++
	}
	if s.stated != nil {
		s.handle(s.c.StartedWithLoad(s.now, ticket(e.seq), s.stated(s.sentToSeq[e.seq])))
	}
}

// longWaitFraction returns the fraction of requests that were refused or waited for longer
// than a usual service time.
func (s *serviceSimulation) longWaitFraction() float64 {
	n := 0
	for _, w := range s.waits {
		if w > 40*time.Millisecond {
			n++
		}
	}
	return float64(n+s.refused) / float64(len(s.waits)+s.refused)
}

// Guards against requests that queue while half of the slots are free: an upstream
// returned a few application errors, which all upstreams return alike, and its slots
// stayed idle (handsets then waited for stop confirmations). Four upstreams with six slots
// at 0.6 of their capacity, one answer in twelve an error.
func TestUsualFailuresKeepNoSlotIdle(t *testing.T) {
	g := NewWithT(t)
	p := newServiceSimulation(4, 6)
	p.failureRate = func(string) float64 { return 0.08 }
	p.run(400, 20*time.Second)
	g.Expect(p.longWaitFraction()).To(BeNumerically("<", 0.002))
}

// The same at 0.8 of the capacity: waiting requests must take the first free slot, not one
// of the upstream that was best on submission.
func TestWaitingRequestsTakeTheFirstFreeSlot(t *testing.T) {
	g := NewWithT(t)
	p := newServiceSimulation(4, 6)
	p.run(550, 20*time.Second)
	g.Expect(p.longWaitFraction()).To(BeNumerically("<", 0.01))
}

// Guards against requests sent to an upstream that fails half of them and reports itself
// healthy. The others have room, so it should get few more requests than it takes to see
// that it still fails.
func TestFailingUpstreamGetsFewRequests(t *testing.T) {
	g := NewWithT(t)
	p := newServiceSimulation(4, 6)
	p.failureRate = func(u string) float64 {
		if u == "p2" {
			return 0.45
		}
		return 0.04
	}
	p.run(300, 20*time.Second)
	g.Expect(float64(p.sentTo["p2"]) / float64(len(p.waits))).To(BeNumerically("<", 0.05))
	g.Expect(p.longWaitFraction()).To(BeNumerically("<", 0.01))
}

// Guards against bans because of requests that run far past their route's timeout at a
// healthy upstream. If each of them banned the upstream, the slots of the others would not
// suffice and answers would be late.
func TestLongRequestsKeepNoUpstreamIdle(t *testing.T) {
	g := NewWithT(t)
	p := newServiceSimulation(4, 6)
	p.timeoutRate = 0.006
	p.run(400, 20*time.Second)
	g.Expect(p.longWaitFraction()).To(BeNumerically("<", 0.01))
}

// Guards against requests sent to a hung upstream: after the first request without an
// answer it must be banned.
func TestHungUpstreamIsBanned(t *testing.T) {
	g := NewWithT(t)
	p := newServiceSimulation(4, 6)
	p.run(300, 2*time.Second)
	p.hungUpstream = "p0"
	p.run(300, 500*time.Millisecond)
	before := p.sentTo["p0"]
	p.run(300, 400*time.Millisecond)
	g.Expect(p.sentTo["p0"]).To(Equal(before))
}
