package peer

import (
	"context"
	"crypto/tls"
	"io"
	"log"
	"maps"
	"net"
	"sync"
	"sync/atomic"

	"github.com/sourcegraph/jsonrpc2"
)

// Mesh manages a router's connections to all its peers.
type Mesh struct {
	cfg                  Config
	listener             net.Listener
	ctx                  context.Context
	cancel               context.CancelFunc
	wg                   sync.WaitGroup
	bytesSent            atomic.Int64
	notificationsDropped atomic.Int64
	mu                   sync.Mutex
	closed               bool
	links                map[string]*link
	messagesSent         map[string]int64
}

// NewMesh returns a mesh that accepts peers on the listener once Serve is called.
func NewMesh(cfg Config, l net.Listener) *Mesh {
	if cfg.ServerTLS != nil {
		l = tls.NewListener(l, cfg.ServerTLS)
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Mesh{cfg: cfg, listener: l, ctx: ctx, cancel: cancel, links: map[string]*link{}, messagesSent: map[string]int64{}}
}

// Serve accepts connections from peers until Close.
func (m *Mesh) Serve() {
	for {
		conn, err := m.listener.Accept()
		if err != nil {
			return
		}
		if !m.startGoroutine(func() { m.accept(conn) }) {
			_ = conn.Close()
			return
		}
	}
}

// startGoroutine runs f in a goroutine that Close waits for. It returns false without
// starting it after Close: that goroutine would outlive the router.
func (m *Mesh) startGoroutine(f func()) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return false
	}
	m.wg.Go(f)
	return true
}

func (m *Mesh) accept(raw net.Conn) {
	conn, err := m.serve(m.ctx, raw, m.cfg.Handler)
	if err != nil {
		m.cfg.Log.Debug().Err(err).Msg("rejected peer connection")
		return
	}
	<-conn.DisconnectNotify()
}

// serve starts JSON-RPC on a connection. h is nil for outgoing connections, which
// carry only messages from this side.
func (m *Mesh) serve(ctx context.Context, raw net.Conn, h Handler) (*jsonrpc2.Conn, error) {
	bounded := &deadlineConn{Conn: raw, writeTimeout: m.cfg.WriteTimeout, bytesSent: &m.bytesSent}
	if h != nil {
		bounded.readTimeout = m.cfg.ReadTimeout
	}
	compressed, err := newFlateConn(bounded)
	if err != nil {
		_ = raw.Close()
		return nil, err
	}
	discardLogs := jsonrpc2.SetLogger(log.New(io.Discard, "", 0))
	return jsonrpc2.NewConn(ctx, newStream(compressed), &dispatcher{handler: h}, discardLogs), nil
}

// SetAddresses sets the peers and the addresses at which they listen. Connections to
// peers that are no longer included are closed.
func (m *Mesh) SetAddresses(addresses map[string]string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return
	}
	for name, address := range addresses {
		if l, ok := m.links[name]; ok {
			l.setAddress(address)
			continue
		}
		m.links[name] = newLink(m, name, address)
	}
	for name, l := range m.links {
		if _, ok := addresses[name]; !ok {
			l.cancel()
			delete(m.links, name)
		}
	}
}

func (m *Mesh) link(name string) *link {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.links[name]
}

// Notify queues a notification. It never blocks; the notification is dropped if the
// queue is full or the peer is unknown.
func (m *Mesh) Notify(to, method string, params any) {
	l := m.link(to)
	if l == nil {
		return
	}
	m.countMessage(method)
	select {
	case l.queue <- notification{method: method, params: params}:
	default:
		m.notificationsDropped.Add(1)
	}
}

// Call makes a call and waits for its result.
func (m *Mesh) Call(ctx context.Context, to, method string, params, result any) error {
	l := m.link(to)
	if l == nil {
		return Error.New("unknown peer %q", to)
	}
	m.countMessage(method)
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, defaultCallTimeout)
		defer cancel()
	}
	return l.call(ctx, method, params, result)
}

// Redial replaces the connection to a peer, which may have become unresponsive.
func (m *Mesh) Redial(to string) {
	if l := m.link(to); l != nil {
		l.redial()
	}
}

// BytesSent returns the number of bytes sent to peers after compression, excluding TLS
// overhead.
func (m *Mesh) BytesSent() int64 { return m.bytesSent.Load() }

// MessagesSent returns the number of messages to peers by method.
func (m *Mesh) MessagesSent() map[string]int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return maps.Clone(m.messagesSent)
}

func (m *Mesh) countMessage(method string) {
	m.mu.Lock()
	m.messagesSent[method]++
	m.mu.Unlock()
}

// NotificationsDropped returns the number of notifications dropped because a queue was
// full.
func (m *Mesh) NotificationsDropped() int64 { return m.notificationsDropped.Load() }

// Close closes all connections and waits for their goroutines.
func (m *Mesh) Close() {
	m.mu.Lock()
	m.closed = true
	m.mu.Unlock()
	m.cancel()
	_ = m.listener.Close()
	m.wg.Wait()
}
