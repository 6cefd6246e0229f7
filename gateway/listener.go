package gateway

import (
	"net"
	"runtime"
	"sync"
	"time"

	"github.com/aspenswitch/aspenswitch/obs"
)

// boundedListener accepts new connections no faster than the process can handle them, and only
// while there is memory for them. Callers that would have to wait too long are asked to retry.
//
// During a flood of new connections, each accepted one has goroutines, buffers and unread
// bytes: the process of a small VM is killed for its memory use, and all its requests are
// lost. Before that, thousands of goroutines compete for the processor, which also delays
// the responses of peers: the router considers homes unresponsive and refuses requests that
// it could have served. So accepting connections uses at most half of the processor, in
// short time slices, and new connections wait in the accept queue meanwhile. The time that
// a request has spent in that queue can't be measured: the request would be served late, or
// be cut off while an engine is working on it. So the queue is emptied before the wait gets
// long. The refused connections get a response, since callers whose connection just breaks
// reconnect at once. It is a constant response that doesn't depend on the request, and
// costs a fraction of a regular one.
type boundedListener struct {
	net.Listener
	queue connQueue
	clock listenerClock
	pacer pacer
	// backlog is the maximum number of connections that wait to be accepted.
	backlog int
	// slots holds one element per open connection.
	slots     chan struct{}
	done      chan struct{}
	closeOnce sync.Once
	log       *obs.LimitedLogger
	// lastEmpty is when the queue was last observed to be empty.
	lastEmpty time.Duration
	// busyResponse is sent to refused connections, or leavingResponse while outOfRotation returns true.
	// onRefused is called with their number.
	busyResponse, leavingResponse []byte
	outOfRotation                 func() bool
	onRefused                     func(n int, took time.Duration)
}

// connQueue is the queue of connections that wait to be accepted.
type connQueue interface {
	// pending reports whether a connection is waiting.
	pending() bool
	// refuse sends the response to the oldest waiting connections, closes them and returns
	// their number. A number below limit means that the queue is empty.
	refuse(response []byte, limit int) (refused int, err error)
}

// listenerClock provides the time and the scheduling operations of a listener.
type listenerClock struct {
	now func() time.Duration
	// yield lets other runnable goroutines run; sleep also lets the runtime poll the
	// network.
	yield func()
	sleep func(time.Duration)
}

func systemClock() listenerClock {
	start := time.Now()
	return listenerClock{now: func() time.Duration { return time.Since(start) }, yield: runtime.Gosched, sleep: time.Sleep}
}

const (
	// maxQueueTime is how long connections wait to be accepted: short compared to the
	// latency objectives of requests.
	maxQueueTime = 50 * time.Millisecond
	// refusalBatch is how many connections are refused between two readings of the clock.
	refusalBatch = 16
	// queueCheckInterval is the time between two checks of the queue.
	queueCheckInterval = maxQueueTime / 4
)

func newBoundedListener(l net.Listener, cfg *Config, log *obs.LimitedLogger, onRefused func(n int, took time.Duration)) (*boundedListener, error) {
	queue, err := newListenQueue(l)
	if err != nil {
		return nil, err
	}
	if err := queue.setBacklog(cfg.ListenBacklog); err != nil {
		return nil, err
	}
	clock := systemClock()
	return &boundedListener{
		Listener: l, queue: queue, clock: clock, backlog: cfg.ListenBacklog, slots: make(chan struct{}, cfg.MaxConns), done: make(chan struct{}),
		log: log, lastEmpty: clock.now(), busyResponse: busyRefusal().rawResponse(), leavingResponse: leavingRefusal().rawResponse(),
		outOfRotation: cfg.OutOfRotation, onRefused: onRefused,
	}, nil
}

// Accept implements net.Listener.
func (l *boundedListener) Accept() (net.Conn, error) {
	if err := l.acquireSlot(); err != nil {
		return nil, err
	}
	l.checkQueue()
	waiting := l.queue.pending()
	start := l.clock.now()
	c, err := l.Listener.Accept()
	if err != nil {
		l.releaseSlot()
		return nil, err
	}
	now := l.clock.now()
	// An Accept that takes long has blocked only if no connection was waiting. Otherwise the
	// process waited for the processor, and the queue with it.
	if !waiting && now-start >= queueCheckInterval {
		l.lastEmpty = now
		l.pacer.startSlice(now)
		return c, nil
	}
	l.yieldProcessor(now - start)
	return c, nil
}

// yieldProcessor leaves the processor to other work, after the given time was used for new
// connections.
func (l *boundedListener) yieldProcessor(used time.Duration) {
	pause := l.pacer.recordUse(l.clock.now(), used)
	if pause == 0 {
		// The run queue is FIFO: all goroutines that were runnable have run when this returns.
		l.clock.yield()
		return
	}
	l.clock.sleep(pause)
	l.pacer.startSlice(l.clock.now())
}

// acquireSlot waits until the number of open connections is below the limit. It returns
// net.ErrClosed if the listener is closed.
func (l *boundedListener) acquireSlot() error {
	for {
		select {
		case l.slots <- struct{}{}:
			return nil
		case <-l.done:
			return net.ErrClosed
		default:
		}
		l.checkQueue()
		timer := time.NewTimer(queueCheckInterval)
		select {
		case l.slots <- struct{}{}:
			timer.Stop()
			return nil
		case <-l.done:
			timer.Stop()
			return net.ErrClosed
		case <-timer.C:
		}
	}
}

// releaseSlot releases the slot of a closed connection.
func (l *boundedListener) releaseSlot() { <-l.slots }

// checkQueue refuses the queued connections if the queue has not been empty for maxQueueTime.
func (l *boundedListener) checkQueue() {
	queued := l.clock.now() - l.lastEmpty
	if queued < queueCheckInterval {
		return
	}
	if !l.queue.pending() {
		l.lastEmpty = l.clock.now()
		return
	}
	if queued < maxQueueTime {
		return
	}
	n, err := l.refuseQueued()
	l.lastEmpty = l.clock.now()
	l.log.Warn("connections", func(e *obs.Event) {
		e.Int("refused", n).Int("open", len(l.slots)).Err(err).Msg("refused all waiting connections with router_busy")
	})
}

// refuseQueued refuses the waiting connections and returns their number. During a flood as many
// arrive meanwhile: it stops after a full backlog, so that some connections are accepted again.
func (l *boundedListener) refuseQueued() (refused int, err error) {
	for refused < l.backlog && err == nil {
		start := l.clock.now()
		var n int
		n, err = l.queue.refuse(l.response(), refusalBatch)
		took := l.clock.now() - start
		refused += n
		l.onRefused(n, took)
		if n < refusalBatch {
			break
		}
		l.yieldProcessor(took)
	}
	return refused, err
}

// response returns the response for refused connections.
func (l *boundedListener) response() []byte {
	if l.outOfRotation != nil && l.outOfRotation() {
		return l.leavingResponse
	}
	return l.busyResponse
}

// Close implements net.Listener.
func (l *boundedListener) Close() error {
	l.closeOnce.Do(func() { close(l.done) })
	return l.Listener.Close()
}
