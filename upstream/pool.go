package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// PoolConfig tunes a Pool.
type PoolConfig struct {
	// DialTimeout limits the time to open a connection. An upstream without power
	// doesn't respond at all; one that is only busy accepts within milliseconds.
	DialTimeout time.Duration
	// IdleTimeout is how long an idle connection is kept if the upstream sends no
	// Keep-Alive timeout.
	IdleTimeout time.Duration
	// KeepAliveMargin is how much earlier than the upstream the pool closes an idle
	// connection, so that no request is sent while the upstream closes it.
	KeepAliveMargin time.Duration
	// MaxIdleNonRepeatable is the maximum idle time of a connection that is reused for
	// a request that must not be repeated. An upstream may drop an idle connection
	// without notice; the next request is then lost and may or may not have been
	// executed.
	MaxIdleNonRepeatable time.Duration
	// TCPUserTimeout is how long sent data may remain unacknowledged before the
	// connection is closed. There is no other sign of a path that drops all packets.
	TCPUserTimeout time.Duration
	// MaxHeaderBytes limits the headers of a response, including those of interim responses.
	MaxHeaderBytes int64
	// MaxHeaderTime limits the time from the first to the last byte of a header. An upstream
	// sends a header at once; only lost packets stretch it.
	MaxHeaderTime time.Duration
	// MaxIdlePerUpstream is the maximum number of idle connections per upstream.
	MaxIdlePerUpstream int
}

// DefaultPoolConfig returns the configuration for upstreams of the same region.
func DefaultPoolConfig() PoolConfig {
	return PoolConfig{
		DialTimeout:          400 * time.Millisecond,
		IdleTimeout:          3 * time.Second,
		KeepAliveMargin:      700 * time.Millisecond,
		MaxIdleNonRepeatable: 1500 * time.Millisecond,
		TCPUserTimeout:       1500 * time.Millisecond,
		MaxHeaderBytes:       defaultMaxHeaderBytes,
		MaxHeaderTime:        2 * time.Second,
		MaxIdlePerUpstream:   64,
	}
}

// defaultMaxHeaderBytes is the limit that also holds for callers by default. An incomplete header
// takes up to three times its size while it is parsed, which must fit into the memory of a pending request.
const defaultMaxHeaderBytes = 16 << 10

// Pool manages connections to upstreams. Unlike http.Transport it never sends a request
// twice, and it determines from the bytes written whether a request may have been sent.
type Pool struct {
	cfg    PoolConfig
	dialer net.Dialer
	mu     sync.Mutex
	idle   map[string][]*poolConn
	dials  int64
}

// NewPool returns a pool. CloseExpired must be called periodically.
func NewPool(cfg PoolConfig) *Pool {
	p := &Pool{cfg: cfg, idle: map[string][]*poolConn{}}
	p.dialer = net.Dialer{
		Timeout:         cfg.DialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2},
		Control:         p.setUserTimeout,
	}
	return p
}

// setUserTimeout sets TCP_USER_TIMEOUT on a new socket.
func (p *Pool) setUserTimeout(_, _ string, c syscall.RawConn) error {
	var setErr error
	err := c.Control(func(fd uintptr) {
		setErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(p.cfg.TCPUserTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return setErr
}

// Dials returns the number of attempts to open a connection.
func (p *Pool) Dials() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dials
}

// Idle returns the number of idle connections.
func (p *Pool) Idle() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, list := range p.idle {
		n += len(list)
	}
	return n
}

// poolConn is a pooled connection. It carries one request at a time.
type poolConn struct {
	net.Conn
	br   *bufio.Reader
	addr string
	// started is the start time of the incarnation to which the connection was opened.
	started  int64
	lastUsed time.Time
	// expires is the time at which the connection is closed if it is still idle.
	expires time.Time
	// checked is when the idle connection was last checked for unread data.
	checked time.Time
	reused  bool
	header  headerLimit
}

// Read implements net.Conn. It enforces the limits of a response header while one is read.
func (c *poolConn) Read(b []byte) (int, error) {
	if !c.header.active {
		return c.Conn.Read(b)
	}
	room, err := c.header.room()
	if err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(b[:min(int64(len(b)), room)])
	c.header.add(b[:n], time.Now())
	c.header.readErr = err
	return n, err
}

// readBufferSize is the size of a connection's read buffer in bytes. A response header
// and several events fit into it.
const readBufferSize = 2 << 10

// discard reads body to its end and returns io.EOF, nil if the body is longer than maxBytes, or
// another error, which is os.ErrDeadlineExceeded after maxTime.
func (c *poolConn) discard(body io.Reader, maxBytes int64, maxTime time.Duration) (int64, error) {
	if err := c.SetReadDeadline(time.Now().Add(maxTime)); err != nil {
		return 0, err
	}
	n, err := io.CopyN(io.Discard, body, maxBytes+1)
	if err == nil {
		return n, nil
	}
	if resetErr := c.SetReadDeadline(time.Time{}); resetErr != nil {
		return n, resetErr
	}
	return n, err
}

// get returns a connection that was last used within maxIdle, or a new one.
//
// A connection to an earlier incarnation of the upstream isn't used. After a power loss
// nothing has closed it; a request sent on it is reset, and the pool can't determine
// that it was not executed.
func (p *Pool) get(ctx context.Context, request *Request, maxIdle time.Duration) (*poolConn, error) {
	addr := request.Address
	for c := p.popIdle(addr); c != nil; c = p.popIdle(addr) {
		now := time.Now()
		if now.Before(c.expires) && now.Sub(c.lastUsed) < maxIdle && c.started == request.Started && c.connState() == idleSound {
			c.reused = true
			return c, nil
		}
		_ = c.Close()
	}
	p.mu.Lock()
	p.dials++
	p.mu.Unlock()
	conn, err := p.dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	c := &poolConn{Conn: conn, addr: addr, started: request.Started}
	c.br = bufio.NewReaderSize(c, readBufferSize)
	return c, nil
}

// popIdle removes and returns the most recently used idle connection, or nil if there is
// none.
func (p *Pool) popIdle(addr string) *poolConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[addr]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[addr] = list[:len(list)-1]
	return c
}

// put returns a connection to the pool after a complete response. It may stay idle for the given time.
func (p *Pool) put(c *poolConn, idle time.Duration) {
	if idle <= 0 {
		_ = c.Close()
		return
	}
	c.lastUsed = time.Now()
	c.checked = c.lastUsed
	c.expires = c.lastUsed.Add(idle)
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[c.addr]) >= p.cfg.MaxIdlePerUpstream {
		_ = c.Close()
		return
	}
	p.idle[c.addr] = append(p.idle[c.addr], c)
}

// idleTimeout returns how long a connection may stay idle after a response with the given header.
func (p *Pool) idleTimeout(h http.Header) time.Duration {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		value, found := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !found {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil {
			return time.Duration(seconds)*time.Second - p.cfg.KeepAliveMargin
		}
	}
	return p.cfg.IdleTimeout
}

// CloseExpired closes the idle connections that have expired by now, and those whose upstream has
// closed them or sent data. It returns the addresses of upstreams that sent data without a request.
func (p *Pool) CloseExpired(now time.Time) (unsolicited []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			state := c.idleState(now)
			if state == idleSound {
				kept = append(kept, c)
				continue
			}
			if state == idleUnread {
				unsolicited = append(unsolicited, addr)
			}
			_ = c.Close()
		}
		if len(kept) == 0 {
			delete(p.idle, addr)
			continue
		}
		p.idle[addr] = kept
	}
	return unsolicited
}

// Close closes idle connections.
func (p *Pool) Close() { p.CloseExpired(time.Now().Add(time.Hour)) }
