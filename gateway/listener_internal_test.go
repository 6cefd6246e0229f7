package gateway

import (
	"net"
	"net/http"
	"runtime"
	"sync"
	"sync/atomic"
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

// burstListener is a listener on loopback to which callers connect in bursts.
type burstListener struct {
	net.Listener
	queue *listenQueue
	// size is the number of callers in a burst, accepts the number of calls of Accept.
	size    int64
	accepts atomic.Int64
}

// Accept returns the first connection of a burst when another one is waiting.
func (l *burstListener) Accept() (net.Conn, error) {
	first := (l.accepts.Add(1)-1)%l.size == 0
	c, err := l.Listener.Accept()
	for first && err == nil && !l.queue.pending() {
		time.Sleep(time.Millisecond)
	}
	return c, err
}

// Guards against refusing callers after an idle period, because the queue was not checked
// while it was empty.
func TestCallersAfterAnIdlePeriodAreServed(t *testing.T) {
	g := NewWithT(t)
	const callers, bursts, idle = 20, 5, 100 * time.Millisecond
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	queue, err := newListenQueue(tcp)
	g.Expect(err).NotTo(HaveOccurred())
	connections := &burstListener{Listener: tcp, queue: queue, size: callers}
	var now, refused atomic.Int64
	l := &boundedListener{
		Listener: connections, queue: queue, backlog: 700, slots: make(chan struct{}, callers*bursts+1), done: make(chan struct{}),
		clock: listenerClock{now: func() time.Duration { return time.Duration(now.Load()) }, yield: runtime.Gosched, sleep: time.Sleep},
		log:   obs.NewLimitedLogger(zerolog.Nop(), 1), onRefused: func(n int, _ time.Duration) { refused.Add(int64(n)) },
	}
	server := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for burst := range int64(bursts) {
		g.Eventually(connections.accepts.Load, 10*time.Second, time.Millisecond).Should(Equal(burst*callers + 1))
		now.Add(int64(idle))
		var wg sync.WaitGroup
		var served atomic.Int64
		for range callers {
			wg.Go(func() {
				resp, err := client.Get("http://" + tcp.Addr().String())
				if err != nil {
					return
				}
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					served.Add(1)
				}
			})
		}
		wg.Wait()
		g.Expect(served.Load()).To(BeNumerically("==", callers))
	}
	g.Expect(refused.Load()).To(BeZero())
}
