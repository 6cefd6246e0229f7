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

// plain drives a core for upstreams of a plain service, in virtual time.
type plain struct {
	c       *dispatch.Core
	rnd     *rand.Rand
	now     time.Duration
	seq     uint64
	ends    plainEnds
	askedAt map[uint64]time.Duration
	waits   []time.Duration
	refused int
	sentTo  map[string]int
	// fails is the part of an upstream's requests that fail.
	fails func(upstream string) float64
	// endless is the part of the requests that outlast their deadline; a hung
	// upstream answers nothing.
	endless float64
	hung    string
}

// timeLimit is the deadline of requests in these tests.
const timeLimit = 400 * time.Millisecond

// plainEnd is when a request at an upstream ends.
type plainEnd struct {
	at   time.Duration
	seq  uint64
	took time.Duration
	o    dispatch.Outcome
}

type plainEnds []plainEnd

func (e plainEnds) Len() int           { return len(e) }
func (e plainEnds) Less(i, j int) bool { return e[i].at < e[j].at }
func (e plainEnds) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *plainEnds) Push(x any)        { *e = append(*e, x.(plainEnd)) }
func (e *plainEnds) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func newPlain(upstreams, slots int) *plain {
	c := dispatch.New(dispatch.DefaultConfig(false))
	var members []dispatch.Member
	for i := range upstreams {
		members = append(members, dispatch.Member{Incarnation: named(fmt.Sprint("p", i)), Slots: slots})
	}
	c.SetMembers(0, members)
	return &plain{
		c: c, rnd: rand.New(rand.NewPCG(1, 1)), askedAt: map[uint64]time.Duration{}, sentTo: map[string]int{},
		fails: func(string) float64 { return 0 },
	}
}

// serviceTime is 35 ms in the mean: 30 at the upstream and the way there.
func (p *plain) serviceTime() time.Duration {
	const mean, spread = 35, 0.5
	ms := mean * math.Exp(spread*p.rnd.NormFloat64()-spread*spread/2)
	return time.Duration(ms * float64(time.Millisecond))
}

func (p *plain) take(ds []dispatch.Decision) {
	for _, d := range ds {
		switch d.Verdict {
		case dispatch.Refuse:
			p.refused++
		case dispatch.Send:
			p.waits = append(p.waits, p.now-p.askedAt[d.Ticket.Seq])
			p.sentTo[d.Upstream]++
			took := p.serviceTime()
			o := dispatch.Served
			if p.rnd.Float64() < p.fails(d.Upstream) {
				o = dispatch.Failed
			}
			if p.rnd.Float64() < p.endless || d.Upstream == p.hung {
				o, took = dispatch.TimedOut, timeLimit
			}
			heap.Push(&p.ends, plainEnd{at: p.now + took, seq: d.Ticket.Seq, took: took, o: o})
		}
	}
}

// play asks so many times a second, for a while.
func (p *plain) play(perSecond float64, length time.Duration) {
	until := p.now + length
	next := p.now
	for tick := p.now; tick < until; tick += 10 * time.Millisecond {
		for {
			end, ask := time.Duration(math.MaxInt64), next
			if len(p.ends) > 0 {
				end = p.ends[0].at
			}
			if min(end, ask) > tick {
				break
			}
			if end <= ask {
				e := heap.Pop(&p.ends).(plainEnd)
				p.now = e.at
				p.take(p.c.Done(p.now, ticket(e.seq), e.o, e.took))
				continue
			}
			p.now = ask
			p.seq++
			p.askedAt[p.seq] = p.now
			p.take(p.c.Submit(p.now, dispatch.Request{Ticket: ticket(p.seq), Team: "a", Target: 150 * time.Millisecond, Timeout: timeLimit}))
			next += time.Duration(p.rnd.ExpFloat64() / perSecond * float64(time.Second))
		}
		p.now = tick
		p.take(p.c.Tick(p.now))
	}
}

// longWaits is the part of the requests that waited for longer than a usual service
// time, or were refused.
func (p *plain) longWaits() float64 {
	n := 0
	for _, w := range p.waits {
		if w > 40*time.Millisecond {
			n++
		}
	}
	return float64(n+p.refused) / float64(len(p.waits)+p.refused)
}

// Handsets wait for stop confirmations while half of the slots are free: a few
// answers of one upstream were failures of the application, which all upstreams
// give alike, and requests queue for the others. Four upstreams with six slots at
// six tenths of their capacity, one answer in twelve a failure.
func TestUsualFailuresKeepNoSlotIdle(t *testing.T) {
	g := NewWithT(t)
	p := newPlain(4, 6)
	p.fails = func(string) float64 { return 0.08 }
	p.play(400, 20*time.Second)
	g.Expect(p.longWaits()).To(BeNumerically("<", 0.002))
}

// The same at four fifths of the capacity: requests wait for whichever slot comes
// free first, not for the one that looked best when they came.
func TestWaitingRequestsTakeTheFirstFreeSlot(t *testing.T) {
	g := NewWithT(t)
	p := newPlain(4, 6)
	p.play(550, 20*time.Second)
	g.Expect(p.longWaits()).To(BeNumerically("<", 0.01))
}

// One upstream fails half of its requests and says that it is well. Others have
// room, so it gets next to nothing beside what shows that it goes on failing.
func TestFailingUpstreamIsLeftAlone(t *testing.T) {
	g := NewWithT(t)
	p := newPlain(4, 6)
	p.fails = func(u string) float64 {
		if u == "p2" {
			return 0.45
		}
		return 0.04
	}
	p.play(300, 20*time.Second)
	g.Expect(float64(p.sentTo["p2"]) / float64(len(p.waits))).To(BeNumerically("<", 0.05))
	g.Expect(p.longWaits()).To(BeNumerically("<", 0.01))
}

// Some requests outlast their route's time limit by far, at a sound upstream that
// answers others meanwhile. If it were left alone for each of them, the others'
// slots would not suffice and callers' answers came late.
func TestLongRequestsKeepNoUpstreamIdle(t *testing.T) {
	g := NewWithT(t)
	p := newPlain(4, 6)
	p.endless = 0.006
	p.play(400, 20*time.Second)
	g.Expect(p.longWaits()).To(BeNumerically("<", 0.01))
}

// An upstream hangs: nothing comes from it any more. After the first request that
// it left unanswered it gets no work for a while.
func TestHungUpstreamIsLeftAlone(t *testing.T) {
	g := NewWithT(t)
	p := newPlain(4, 6)
	p.play(300, 2*time.Second)
	p.hung = "p0"
	p.play(300, 500*time.Millisecond)
	before := p.sentTo["p0"]
	p.play(300, 400*time.Millisecond)
	g.Expect(p.sentTo["p0"]).To(Equal(before))
}
