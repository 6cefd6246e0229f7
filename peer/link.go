package peer

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"time"

	"github.com/sourcegraph/jsonrpc2"
)

// notification is a queued message.
type notification struct {
	method string
	params any
}

// link is the outgoing connection to one peer.
type link struct {
	mesh    *Mesh
	name    string
	queue   chan notification
	ctx     context.Context
	cancel  context.CancelFunc
	mu      sync.Mutex
	address string
	conn    *jsonrpc2.Conn
}

// newLink starts a link. The caller holds m.mu and has checked that m is not closed.
func newLink(m *Mesh, name, address string) *link {
	ctx, cancel := context.WithCancel(m.ctx)
	l := &link{
		mesh: m, name: name, address: address,
		queue: make(chan notification, m.cfg.QueueSize),
		ctx:   ctx, cancel: cancel,
	}
	m.wg.Go(l.run)
	return l
}

// run sends the queued notifications. Those that can't be sent are dropped: they would
// be out of date by the time a connection is available again.
func (l *link) run() {
	defer l.redial()
	for {
		select {
		case <-l.ctx.Done():
			return
		case n := <-l.queue:
			l.notify(n)
		}
	}
}

func (l *link) notify(n notification) {
	conn, err := l.connection(l.ctx)
	if err == nil {
		err = conn.Notify(l.ctx, n.method, n.params)
	}
	if err != nil {
		l.mesh.cfg.Log.Debug().Err(err).Str("peer", l.name).Msg("notification lost")
		l.discard(conn)
	}
}

// connection returns the open connection, or opens one.
func (l *link) connection(ctx context.Context) (*jsonrpc2.Conn, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn != nil {
		select {
		case <-l.conn.DisconnectNotify():
			l.conn = nil
		default:
			return l.conn, nil
		}
	}
	raw, err := l.dial(ctx)
	if err != nil {
		return nil, err
	}
	conn, err := l.mesh.serve(l.ctx, raw, nil)
	if err != nil {
		return nil, err
	}
	l.conn = conn
	return conn, nil
}

func (l *link) dial(ctx context.Context) (net.Conn, error) {
	d := net.Dialer{Timeout: l.mesh.cfg.DialTimeout}
	if l.mesh.cfg.ClientTLS == nil {
		conn, err := d.DialContext(ctx, "tcp", l.address)
		return conn, Error.Wrap(err)
	}
	conn, err := (&tls.Dialer{NetDialer: &d, Config: l.mesh.cfg.ClientTLS}).DialContext(ctx, "tcp", l.address)
	return conn, Error.Wrap(err)
}

// discard closes a connection that failed, so that the next message opens a new one.
func (l *link) discard(conn *jsonrpc2.Conn) {
	if conn == nil {
		return
	}
	l.mu.Lock()
	if l.conn == conn {
		l.conn = nil
	}
	l.mu.Unlock()
	_ = conn.Close()
}

// redial closes the current connection, so that the next message opens a new one.
func (l *link) redial() {
	l.mu.Lock()
	conn := l.conn
	l.conn = nil
	l.mu.Unlock()
	if conn != nil {
		_ = conn.Close()
	}
}

func (l *link) setAddress(address string) {
	l.mu.Lock()
	changed := l.address != address
	l.address = address
	l.mu.Unlock()
	if changed {
		l.redial()
	}
}

// call makes a call and waits for its result until the context ends.
func (l *link) call(ctx context.Context, method string, params, result any) error {
	conn, err := l.connection(ctx)
	if err != nil {
		return err
	}
	err = conn.Call(ctx, method, params, result)
	if ctx.Err() != nil {
		// A missing response may mean that the connection is unresponsive: the next
		// call opens a new one.
		l.discard(conn)
	}
	return Error.Wrap(err)
}

// defaultCallTimeout limits calls whose context has no deadline.
const defaultCallTimeout = 2 * time.Second
