package gateway

import (
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/aspenswitch/aspenswitch/obs"
)

// floodedQueue is a listener whose queue fills at a constant rate, on a simulated single
// processor.
type floodedQueue struct {
	net.Listener
	now time.Duration
	// arrivalRate is in connections per second; taken counts those accepted or refused.
	arrivalRate, taken int
	// refusalTime and sleepTime are the total times spent refusing and sleeping,
	// longestBusy is the longest time without a sleep.
	refusalTime, sleepTime, longestBusy time.Duration
	sleptAt                             time.Duration
	// preemptedFor is how long the process waits for the processor after each preemptedEvery of
	// runningTime, the time in which it has the processor.
	preemptedEvery, preemptedFor, runningTime time.Duration
	preemptions                               int
}

const (
	// acceptCost and refuseCost are the processor time per connection on a small VM.
	acceptCost = 100 * time.Microsecond
	refuseCost = 50 * time.Microsecond
)

func (q *floodedQueue) waiting() int { return int(q.now.Seconds()*float64(q.arrivalRate)) - q.taken }

func (q *floodedQueue) Accept() (net.Conn, error) {
	for q.waiting() == 0 {
		q.sleep(time.Millisecond)
	}
	q.taken++
	q.run(acceptCost)
	return nil, nil
}

// run advances the time by running time and by the waits for the processor that fall into it.
func (q *floodedQueue) run(d time.Duration) {
	q.now += d
	q.runningTime += d
	if q.preemptedFor > 0 && q.runningTime >= time.Duration(q.preemptions+1)*q.preemptedEvery {
		q.now += q.preemptedFor
		q.preemptions++
	}
}

func (q *floodedQueue) pending() bool { return q.waiting() > 0 }

func (q *floodedQueue) refuse(_ []byte, limit int) (int, error) {
	start, n := q.now, 0
	for n < limit && q.waiting() > 0 {
		q.taken++
		q.run(refuseCost)
		n++
	}
	q.refusalTime += q.now - start
	return n, nil
}

func (q *floodedQueue) sleep(d time.Duration) {
	q.longestBusy = max(q.longestBusy, q.now-q.sleptAt)
	q.now += d
	q.sleepTime += d
	q.sleptAt = q.now
}

// newFloodedListener returns a listener with the queue and its simulated processor.
func newFloodedListener(q *floodedQueue) *boundedListener {
	return &boundedListener{
		Listener: q, queue: q, backlog: 700, slots: make(chan struct{}, 1), done: make(chan struct{}),
		clock: listenerClock{now: func() time.Duration { return q.now }, yield: func() {}, sleep: q.sleep},
		log:   obs.NewLimitedLogger(zerolog.Nop(), 1), onRefused: func(int, time.Duration) {},
	}
}

// acceptFor accepts connections for a duration.
func acceptFor(g *WithT, q *floodedQueue, d time.Duration) {
	l := newFloodedListener(q)
	for q.now < d {
		_, err := l.Accept()
		g.Expect(err).NotTo(HaveOccurred())
		l.releaseSlot()
	}
}

// Guards against a flood of new connections that takes the processor from all other work.
func TestNewConnectionsLeaveTimeForTheWorkInHand(t *testing.T) {
	for _, perSecond := range []int{100, 3000, 12000} {
		g := NewWithT(t)
		q := &floodedQueue{arrivalRate: perSecond}
		acceptFor(g, q, 5*time.Second)
		g.Expect(q.longestBusy).To(BeNumerically("<=", 5*time.Millisecond), "%d a second", perSecond)
		g.Expect(q.sleepTime).To(BeNumerically(">=", q.refusalTime), "%d a second", perSecond)
	}
}

// preemptedQueue returns a queue of a process that gets a sixteenth of the processor, as on a host
// whose processor is used by others.
func preemptedQueue() *floodedQueue {
	return &floodedQueue{arrivalRate: 3000, preemptedEvery: 5 * time.Millisecond, preemptedFor: 80 * time.Millisecond}
}

// Guards against callers that wait in a queue which the listener takes for empty, because accepting
// a connection took as long as waiting for one.
func TestListenerThatWaitedForTheProcessorRefusesQueuedCallers(t *testing.T) {
	g := NewWithT(t)
	q := preemptedQueue()
	acceptFor(g, q, 5*time.Second)
	g.Expect(q.refusalTime).NotTo(BeZero())
}

// Guards against callers that are neither accepted nor refused because the listener pauses for as
// long as it has waited for the processor.
func TestListenerDoesNotPauseForTheTimeItWaitedForTheProcessor(t *testing.T) {
	g := NewWithT(t)
	q := preemptedQueue()
	acceptFor(g, q, 20*time.Second)
	g.Expect(q.sleepTime).To(BeNumerically("<=", q.runningTime+time.Duration(q.preemptions)*maxOperationTime))
	g.Expect(q.sleepTime).To(BeNumerically(">=", q.runningTime), "half of the processor is left to other work")
}
