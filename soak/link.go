package soak

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// Direction is a direction of a connection.
type Direction uint8

// Directions; the client is the side that opens the connection.
const (
	ClientToServer Direction = iota
	ServerToClient
)

// Link is a loopback proxy in front of one address. Bytes held back by a blocked direction
// are forwarded when it is unblocked. A stalled connection never forwards another byte,
// while new connections work.
type Link struct {
	l net.Listener

	mu      sync.Mutex
	target  string
	changed chan struct{}
	blocked [2]bool
	delay   time.Duration
	conns   map[*linkConn]struct{}
}

// linkConn is one connection through a link.
type linkConn struct {
	link           *Link
	client, server net.Conn
	stalled        bool
	closed         chan struct{}
	closeOnce      sync.Once
}

// NewLink listens on a free port of ip and forwards connections to target.
func NewLink(ip, target string) (*Link, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	k := &Link{l: l, target: target, changed: make(chan struct{}), conns: map[*linkConn]struct{}{}}
	go k.accept()
	return k, nil
}

// Address returns the address on which the link listens.
func (k *Link) Address() string { return k.l.Addr().String() }

// Close closes the listener and resets the open connections.
func (k *Link) Close() {
	_ = k.l.Close() // the listener may be closed already
	k.Reset()
}

// Block starts or stops holding back the bytes of one direction.
func (k *Link) Block(d Direction, on bool) {
	k.update(func() { k.blocked[d] = on })
}

// Delay delays every chunk by d.
func (k *Link) Delay(d time.Duration) {
	k.update(func() { k.delay = d })
}

// Stall stops forwarding on the open connections for good, without closing them.
func (k *Link) Stall() {
	k.update(func() {
		for c := range k.conns {
			c.stalled = true
		}
	})
}

// Reset resets all open connections.
func (k *Link) Reset() {
	k.mu.Lock()
	var all []*linkConn
	for c := range k.conns {
		all = append(all, c)
	}
	k.mu.Unlock()
	for _, c := range all {
		c.reset()
	}
}

// Retarget forwards new connections to another address.
func (k *Link) Retarget(target string) {
	k.update(func() { k.target = target })
}

// update changes the state and notifies the goroutines that wait for a change.
func (k *Link) update(change func()) {
	k.mu.Lock()
	defer k.mu.Unlock()
	change()
	close(k.changed)
	k.changed = make(chan struct{})
}

func (k *Link) accept() {
	for {
		client, err := k.l.Accept()
		if err != nil {
			return // the listener was closed
		}
		go k.serve(client)
	}
}

func (k *Link) serve(client net.Conn) {
	c := &linkConn{link: k, client: client, closed: make(chan struct{})}
	k.mu.Lock()
	target := k.target
	k.mu.Unlock()
	server, err := net.DialTimeout("tcp", target, time.Second)
	if err != nil {
		c.server = client
		c.reset()
		return
	}
	c.server = server
	k.mu.Lock()
	k.conns[c] = struct{}{}
	k.mu.Unlock()
	var directions sync.WaitGroup
	directions.Go(func() { c.forward(server, client, ClientToServer) })
	directions.Go(func() { c.forward(client, server, ServerToClient) })
	directions.Wait()
	c.reset()
	k.mu.Lock()
	delete(k.conns, c)
	k.mu.Unlock()
}

// forward copies one direction until it ends. An orderly end is forwarded as such, a reset
// as a reset.
func (c *linkConn) forward(to, from net.Conn, d Direction) {
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		if !c.awaitUnblocked(d) {
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

// awaitUnblocked waits until bytes may be forwarded. It returns false if the connection has ended.
func (c *linkConn) awaitUnblocked(d Direction) bool {
	k := c.link
	k.mu.Lock()
	delay := k.delay
	k.mu.Unlock()
	time.Sleep(delay)
	for {
		k.mu.Lock()
		held, changed := c.stalled || k.blocked[d], k.changed
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

// reset closes both sides with a TCP reset.
func (c *linkConn) reset() {
	c.closeOnce.Do(func() {
		close(c.closed)
		for _, side := range []net.Conn{c.client, c.server} {
			if tcp, ok := side.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0) // fails only on a closed socket, which needs no reset
			}
			_ = side.Close()
		}
	})
}

func closeWrite(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.CloseWrite() // the peer may have closed the connection already
	}
}
