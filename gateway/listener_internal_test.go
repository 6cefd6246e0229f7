package gateway

import (
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/aspenswitch/aspenswitch/obs"
)

// floodedQueue is a listener whose queue fills with time, on a processor that does one
// thing after the other.
type floodedQueue struct {
	net.Listener
	now time.Duration
	// perSecond connections come; taken are those that were accepted or refused.
	perSecond, taken int
	// refusing and pausing are the time spent so, longest is the longest span without a
	// pause.
	refusing, pausing, longest time.Duration
	pausedAt                   time.Duration
}

const (
	// acceptCost and refuseCost are what a connection costs a small VM.
	acceptCost = 100 * time.Microsecond
	refuseCost = 50 * time.Microsecond
)

func (q *floodedQueue) waiting() int { return int(q.now.Seconds()*float64(q.perSecond)) - q.taken }

func (q *floodedQueue) Accept() (net.Conn, error) {
	for q.waiting() == 0 {
		q.pause(time.Millisecond)
	}
	q.taken++
	q.now += acceptCost
	return nil, nil
}

func (q *floodedQueue) waits() bool { return q.waiting() > 0 }

func (q *floodedQueue) refuse(_ []byte, most int) (int, error) {
	began, n := q.now, 0
	for n < most && q.waiting() > 0 {
		q.taken++
		q.now += refuseCost
		n++
	}
	q.refusing += q.now - began
	return n, nil
}

func (q *floodedQueue) pause(d time.Duration) {
	q.longest = max(q.longest, q.now-q.pausedAt)
	q.now += d
	q.pausing += d
	q.pausedAt = q.now
}

// Guards against a flood of new connections that keeps a router from its work in hand.
func TestNewConnectionsLeaveTimeForTheWorkInHand(t *testing.T) {
	for _, perSecond := range []int{100, 3000, 12000} {
		g := NewWithT(t)
		q := &floodedQueue{perSecond: perSecond}
		l := &boundedListener{
			Listener: q, queue: q, queueConns: 700, places: make(chan struct{}, 1), over: make(chan struct{}),
			clock: listenerClock{now: func() time.Duration { return q.now }, yield: func() {}, pause: q.pause},
			log:   obs.NewLimitedLogger(zerolog.Nop(), 1), refused: func(int, time.Duration) {},
		}
		for q.now < 5*time.Second {
			_, err := l.Accept()
			g.Expect(err).NotTo(HaveOccurred())
			l.closed()
		}
		g.Expect(q.longest).To(BeNumerically("<=", 5*time.Millisecond), "%d a second", perSecond)
		g.Expect(q.pausing).To(BeNumerically(">=", q.refusing), "%d a second", perSecond)
	}
}
