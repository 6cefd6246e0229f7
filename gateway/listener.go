package gateway

import (
	"net"
	"runtime"
	"sync"
	"time"

	"github.com/aspenswitch/aspenswitch/obs"
)

// boundedListener takes new connections no faster than the process can handle them, and
// only while there is memory for them. Callers that would have to wait for long are told to
// come back.
//
// Under a flood of new connections each that waits for its turn has goroutines, buffers
// and unread bytes: a small VM's process is ended for its memory, and every request in it
// is lost. Before that, all wait for a turn among thousands, the answers of peers too: the
// router takes homes for silent, and refuses what it could have served. So new connections
// have half of the processor at most, in short turns, and wait in the listener's queue
// meanwhile. Nobody knows how long a request has waited there: it would be served late, or
// be cut while an engine works for it. So the queue is emptied before that takes long, with
// an answer, as callers whose connections just break come back at once. That answer is the
// same for all and looks at nothing, and costs a fraction of another.
type boundedListener struct {
	net.Listener
	queue connQueue
	clock listenerClock
	turns turns
	// queueConns is how many connections wait at most.
	queueConns int
	// places are taken by the connections that are open.
	places chan struct{}
	over   chan struct{}
	once   sync.Once
	log    *obs.LimitedLogger
	// emptyAt is when the queue was last seen empty.
	emptyAt time.Duration
	// busy is the answer to those that can't be taken; refused is told their number.
	busy    []byte
	refused func(n int, took time.Duration)
}

// connQueue is the connections that wait to be taken.
type connQueue interface {
	// waits reports whether a connection waits.
	waits() bool
	// refuse answers the oldest connections that wait, closes them and returns their
	// number. Fewer than most mean that none waits any more.
	refuse(answer []byte, most int) (refused int, err error)
}

// listenerClock is the time that a listener reads and spends.
type listenerClock struct {
	now func() time.Duration
	// yield lets the work in hand have its turn, and pause leaves the processor to it and
	// to what has come over the network.
	yield func()
	pause func(time.Duration)
}

func systemClock() listenerClock {
	start := time.Now()
	return listenerClock{now: func() time.Duration { return time.Since(start) }, yield: runtime.Gosched, pause: time.Sleep}
}

const (
	// longestQueued is how long connections wait to be taken: little against the
	// objectives of requests.
	longestQueued = 50 * time.Millisecond
	// refusedInRow is how many connections are refused between two looks at the clock.
	refusedInRow = 16
	// looksEvery is the time between two looks at the queue.
	looksEvery = longestQueued / 4
)

func newBoundedListener(l net.Listener, cfg *Config, log *obs.LimitedLogger, refused func(n int, took time.Duration)) (*boundedListener, error) {
	queue, err := newListenQueue(l)
	if err != nil {
		return nil, err
	}
	if err := queue.bound(cfg.ListenBacklog); err != nil {
		return nil, err
	}
	clock := systemClock()
	return &boundedListener{
		Listener: l, queue: queue, clock: clock, queueConns: cfg.ListenBacklog, places: make(chan struct{}, cfg.MaxConns), over: make(chan struct{}),
		log: log, emptyAt: clock.now(), busy: busyRefusal().closing(), refused: refused,
	}, nil
}

// Accept implements net.Listener.
func (l *boundedListener) Accept() (net.Conn, error) {
	if err := l.takePlace(); err != nil {
		return nil, err
	}
	l.look()
	began := l.clock.now()
	c, err := l.Listener.Accept()
	if err != nil {
		l.closed()
		return nil, err
	}
	now := l.clock.now()
	if now-began >= looksEvery {
		// It had to wait for a connection: the queue was empty until now.
		l.emptyAt = now
		l.turns.begin(now)
		return c, nil
	}
	l.leave(now - began)
	return c, nil
}

// leave leaves the processor to the work in hand after so much work on new connections.
func (l *boundedListener) leave(took time.Duration) {
	pause := l.turns.spend(l.clock.now(), took)
	if pause == 0 {
		// The run queue is first in, first out: what could run has run when this returns.
		l.clock.yield()
		return
	}
	l.clock.pause(pause)
	l.turns.begin(l.clock.now())
}

// takePlace waits until fewer connections are open than there is memory for.
func (l *boundedListener) takePlace() error {
	for {
		select {
		case l.places <- struct{}{}:
			return nil
		case <-l.over:
			return net.ErrClosed
		default:
		}
		l.look()
		wait := time.NewTimer(looksEvery)
		select {
		case l.places <- struct{}{}:
			wait.Stop()
			return nil
		case <-l.over:
			wait.Stop()
			return net.ErrClosed
		case <-wait.C:
		}
	}
}

// closed frees the place of a connection.
func (l *boundedListener) closed() { <-l.places }

// look empties the queue if it hasn't been empty for long.
func (l *boundedListener) look() {
	queued := l.clock.now() - l.emptyAt
	if queued < looksEvery {
		return
	}
	if !l.queue.waits() {
		l.emptyAt = l.clock.now()
		return
	}
	if queued < longestQueued {
		return
	}
	n, err := l.turnAway()
	l.emptyAt = l.clock.now()
	l.log.Warn("connections", func(e *obs.Event) {
		e.Int("refused", n).Int("open", len(l.places)).Err(err).Msg("router_busy to all connections that waited")
	})
}

// turnAway refuses the connections that wait, and returns their number. Under a flood as
// many come meanwhile: it ends after as many as can wait, so that some are taken again.
func (l *boundedListener) turnAway() (refused int, err error) {
	for refused < l.queueConns && err == nil {
		began := l.clock.now()
		var n int
		n, err = l.queue.refuse(l.busy, refusedInRow)
		took := l.clock.now() - began
		refused += n
		l.refused(n, took)
		if n < refusedInRow {
			break
		}
		l.leave(took)
	}
	return refused, err
}

// Close implements net.Listener.
func (l *boundedListener) Close() error {
	l.once.Do(func() { close(l.over) })
	return l.Listener.Close()
}
