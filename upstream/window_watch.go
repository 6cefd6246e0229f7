package upstream

import (
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// windowCheckInterval is the time between two checks of a connection whose peer doesn't take its data.
const windowCheckInterval = 100 * time.Millisecond

// windowWatch keeps a connection open while its upstream reads a long body late. TCP_USER_TIMEOUT is meant
// for a path that loses everything, but the kernel also counts the time for which the upstream's window is
// closed, and then ends the connection without telling the upstream, which runs on. The watch extends the
// timeout as long as the upstream acknowledges the kernel's probes.
type windowWatch struct {
	raw  syscall.RawConn
	base time.Duration
	body *bodyWriter
	// mu guards the fields below.
	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
	stall   sendStall
	// timeout is the TCP_USER_TIMEOUT that is set.
	timeout time.Duration
	started time.Time
}

// watchWindow starts to watch a connection on which a long body is being written. It returns nil if the
// connection can't be watched.
func (p *Pool) watchWindow(c *poolConn, body *bodyWriter) *windowWatch {
	sys, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := sys.SyscallConn()
	if err != nil {
		return nil
	}
	w := &windowWatch{raw: raw, body: body, base: p.cfg.TCPUserTimeout, timeout: p.cfg.TCPUserTimeout, started: time.Now()}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(probeInterval(w.base), w.check)
	return w
}

// stop ends the watch. It may be called on nil.
func (w *windowWatch) stop() {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer.Stop()
	w.stopped = true
	w.set(w.base)
}

// check extends the timeout, or ends the watch if the whole body has been acknowledged.
func (w *windowWatch) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return
	}
	ended := w.body.ended() // read first: what is written later may not wait yet
	state, ok := w.read()
	if !ok {
		return // closed, or not supported
	}
	if timeout := w.stall.userTimeout(time.Since(w.started), state, w.base); timeout > 0 {
		w.set(timeout)
	}
	if state.waiting || !ended {
		w.timer.Reset(windowCheckInterval)
	}
}

// set sets TCP_USER_TIMEOUT.
func (w *windowWatch) set(timeout time.Duration) {
	if timeout == w.timeout {
		return
	}
	w.timeout = timeout
	_ = w.raw.Control(func(fd uintptr) { // fails if the connection is closed
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	})
}

// read reads what the kernel knows of the data that is being sent.
func (w *windowWatch) read() (state sendState, ok bool) {
	err := w.raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		if err != nil {
			return
		}
		ok = true
		state = sendState{
			waiting: info.Notsent_bytes > 0 || info.Unacked > 0, acked: info.Bytes_acked,
			sinceAck: time.Duration(info.Last_ack_recv) * time.Millisecond,
		}
	})
	return state, ok && err == nil
}
