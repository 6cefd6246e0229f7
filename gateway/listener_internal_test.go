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
	q.now += acceptCost
	return nil, nil
}

func (q *floodedQueue) pending() bool { return q.waiting() > 0 }

func (q *floodedQueue) refuse(_ []byte, limit int) (int, error) {
	start, n := q.now, 0
	for n < limit && q.waiting() > 0 {
		q.taken++
		q.now += refuseCost
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

// Guards against a flood of new connections that takes the processor from all other work.
func TestNewConnectionsLeaveTimeForTheWorkInHand(t *testing.T) {
	for _, perSecond := range []int{100, 3000, 12000} {
		g := NewWithT(t)
		q := &floodedQueue{arrivalRate: perSecond}
		l := &boundedListener{
			Listener: q, queue: q, backlog: 700, slots: make(chan struct{}, 1), done: make(chan struct{}),
			clock: listenerClock{now: func() time.Duration { return q.now }, yield: func() {}, sleep: q.sleep},
			log:   obs.NewLimitedLogger(zerolog.Nop(), 1), onRefused: func(int, time.Duration) {},
		}
		for q.now < 5*time.Second {
			_, err := l.Accept()
			g.Expect(err).NotTo(HaveOccurred())
			l.releaseSlot()
		}
		g.Expect(q.longestBusy).To(BeNumerically("<=", 5*time.Millisecond), "%d a second", perSecond)
		g.Expect(q.sleepTime).To(BeNumerically(">=", q.refusalTime), "%d a second", perSecond)
	}
}
