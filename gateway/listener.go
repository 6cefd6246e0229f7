package gateway

import (
	"net"

	"github.com/aspenswitch/aspenswitch/obs"
)

// boundedListener takes connections as long as there is memory for them, and closes the
// others unread.
//
// Under a flood of new connections requests come faster than a small VM's processor can
// refuse them. Each that waits has a goroutine, buffers and unread bytes; thousands of
// them end the process for its memory, and every request in it is lost. One that is closed
// unread costs next to nothing: its caller knows that it hasn't run and goes to another
// router at once. In the listener's queue it would be held as well, and callers that find
// the queue full wait for a second before their system tries again.
type boundedListener struct {
	net.Listener
	server *Server
}

// Accept implements net.Listener.
func (l *boundedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.server.conns.Load() < int64(l.server.cfg.MaxConns) {
			return c, nil
		}
		l.refuse(c)
	}
}

func (l *boundedListener) refuse(c net.Conn) {
	s := l.server
	s.counts.closed.Add(1)
	s.log.Warn("connections", func(e *obs.Event) {
		e.Int64("open", s.conns.Load()).Int("most", s.cfg.MaxConns).Msg("connection closed unread: no memory for more")
	})
	if err := c.Close(); err != nil {
		s.log.Warn("connections", func(e *obs.Event) { e.Err(err).Msg("connection not closed") })
	}
}
