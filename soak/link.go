package soak

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// Direction is one of the two ways of a connection.
type Direction uint8

// Directions, as seen from who opens the connection.
const (
	ClientToServer Direction = iota
	ServerToClient
)

// Link is a loopback proxy before one address. Bytes that a cut holds up arrive
// when it ends; a connection that was hushed never passes a byte again, while
// new ones work.
type Link struct {
	l net.Listener

	mu      sync.Mutex
	to      string
	changed chan struct{}
	cut     [2]bool
	delay   time.Duration
	open    map[*linkConn]struct{}
}

// linkConn is one connection through a link.
type linkConn struct {
	link       *Link
	near, far  net.Conn
	hushed     bool
	closed     chan struct{}
	closeGuard sync.Once
}

// NewLink listens on a free port of ip and passes connections on to an address.
func NewLink(ip, to string) (*Link, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	k := &Link{l: l, to: to, changed: make(chan struct{}), open: map[*linkConn]struct{}{}}
	go k.accept()
	return k, nil
}

// Address is where the link listens.
func (k *Link) Address() string { return k.l.Addr().String() }

// Close ends the link and its connections.
func (k *Link) Close() {
	_ = k.l.Close() // it may be closed already
	k.Reset()
}

// Block holds up what goes one way, or lets it pass again.
func (k *Link) Block(d Direction, on bool) {
	k.set(func() { k.cut[d] = on })
}

// Delay makes every piece arrive later.
func (k *Link) Delay(d time.Duration) {
	k.set(func() { k.delay = d })
}

// Stall makes the open connections silent for good.
func (k *Link) Stall() {
	k.set(func() {
		for c := range k.open {
			c.hushed = true
		}
	})
}

// Reset breaks all open connections.
func (k *Link) Reset() {
	k.mu.Lock()
	var all []*linkConn
	for c := range k.open {
		all = append(all, c)
	}
	k.mu.Unlock()
	for _, c := range all {
		c.reset()
	}
}

// Retarget passes new connections on to another address.
func (k *Link) Retarget(to string) {
	k.set(func() { k.to = to })
}

// set changes the state and wakes the pumps.
func (k *Link) set(change func()) {
	k.mu.Lock()
	defer k.mu.Unlock()
	change()
	close(k.changed)
	k.changed = make(chan struct{})
}

func (k *Link) accept() {
	for {
		near, err := k.l.Accept()
		if err != nil {
			return // closed
		}
		go k.serve(near)
	}
}

func (k *Link) serve(near net.Conn) {
	c := &linkConn{link: k, near: near, closed: make(chan struct{})}
	k.mu.Lock()
	to := k.to
	k.mu.Unlock()
	far, err := net.DialTimeout("tcp", to, time.Second)
	if err != nil {
		c.far = near
		c.reset()
		return
	}
	c.far = far
	k.mu.Lock()
	k.open[c] = struct{}{}
	k.mu.Unlock()
	var pumps sync.WaitGroup
	pumps.Go(func() { c.pump(far, near, ClientToServer) })
	pumps.Go(func() { c.pump(near, far, ServerToClient) })
	pumps.Wait()
	c.reset()
	k.mu.Lock()
	delete(k.open, c)
	k.mu.Unlock()
}

// pump copies one way until an end. An orderly end is passed on as such, a reset
// as a reset.
func (c *linkConn) pump(to, from net.Conn, d Direction) {
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		if !c.pass(d) {
			return
		}
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				c.reset()
				return
			}
		}
		if errors.Is(err, io.EOF) {
			closeWrite(to)
			return
		}
		if err != nil {
			c.reset()
			return
		}
	}
}

// pass waits until bytes may go on. It returns false if the connection has ended.
func (c *linkConn) pass(d Direction) bool {
	k := c.link
	k.mu.Lock()
	delay := k.delay
	k.mu.Unlock()
	time.Sleep(delay)
	for {
		k.mu.Lock()
		held, changed := c.hushed || k.cut[d], k.changed
		k.mu.Unlock()
		if !held {
			return true
		}
		select {
		case <-changed:
		case <-c.closed:
			return false
		}
	}
}

// reset ends both sides with a reset.
func (c *linkConn) reset() {
	c.closeGuard.Do(func() {
		close(c.closed)
		for _, side := range []net.Conn{c.near, c.far} {
			if tcp, ok := side.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0) // an ended socket has nothing to reset
			}
			_ = side.Close()
		}
	})
}

func closeWrite(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.CloseWrite() // the other side may have ended it already
	}
}
