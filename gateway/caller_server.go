package gateway

import (
	"context"
	"errors"
	"io"
	stdlog "log"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// callerLimits bound the headers and the idle time of callers' connections.
type callerLimits struct {
	// headerTimeout limits how long a request's header takes, idleTimeout how long a connection stays
	// open without a request.
	headerTimeout, idleTimeout time.Duration
	maxHeaderBytes             int
}

// callerLimits returns the limits of the configuration in force, and the defaults where it has none.
func (s *Server) callerLimits() callerLimits {
	limits := callerLimits{headerTimeout: s.cfg.HeaderTimeout, idleTimeout: s.cfg.IdleTimeout, maxHeaderBytes: s.cfg.MaxHeaderBytes}
	state := s.state.Snapshot()
	if state == nil {
		return limits
	}
	configured := state.Table.Config.Limits
	if configured.HeaderTimeout > 0 {
		limits.headerTimeout = configured.HeaderTimeout
	}
	if configured.IdleTimeout > 0 {
		limits.idleTimeout = configured.IdleTimeout
	}
	if configured.MaxHeaderBytes > 0 {
		limits.maxHeaderBytes = configured.MaxHeaderBytes
	}
	return limits
}

// callerServer serves the callers' connections that were accepted while the same limits were in force:
// http.Server can't change its limits while it serves.
type callerServer struct {
	*http.Server
	limits callerLimits
	// conns is the number of open connections.
	conns atomic.Int64
}

// callerServerKey is the context key of a connection's *callerServer.
type callerServerKey struct{}

func (s *Server) newCallerServer(limits callerLimits) *callerServer {
	c := &callerServer{limits: limits}
	c.Server = &http.Server{
		Handler: s,
		ConnState: func(_ net.Conn, state http.ConnState) {
			switch state {
			case http.StateNew:
				c.conns.Add(1)
			case http.StateClosed, http.StateHijacked:
				c.conns.Add(-1)
			case http.StateActive, http.StateIdle:
			}
			s.connState(state)
		},
		BaseContext: func(net.Listener) context.Context {
			return context.WithValue(s.baseCtx, callerServerKey{}, c)
		},
		ReadHeaderTimeout:            limits.headerTimeout,
		IdleTimeout:                  limits.idleTimeout,
		MaxHeaderBytes:               limits.maxHeaderBytes,
		DisableGeneralOptionsHandler: true,
		// Its messages are about callers that disconnect, which the request log covers.
		ErrorLog: stdlog.New(io.Discard, "", 0),
	}
	return c
}

// hasFormerLimits reports whether a request's connection was accepted under other limits than those in
// force.
func (s *Server) hasFormerLimits(in *http.Request) bool {
	c, ok := in.Context().Value(callerServerKey{}).(*callerServer)
	return ok && c.limits != s.callerLimits()
}

// errLimitsChanged ends http.Server.Serve when the limits on callers have changed.
var errLimitsChanged = errors.New("the limits on callers have changed")

// limitsListener accepts connections while the same limits are in force.
type limitsListener struct {
	*boundedListener
	server *Server
	limits callerLimits
	// superseded is set once another callerServer serves the listener.
	superseded atomic.Bool
}

// Accept implements net.Listener. A connection that is accepted after the limits have changed is left to
// the next callerServer.
func (l *limitsListener) Accept() (net.Conn, error) {
	conn := l.server.nextConn
	l.server.nextConn = nil
	if conn == nil {
		var err error
		if conn, err = l.boundedListener.Accept(); err != nil {
			return nil, err
		}
	}
	if l.server.callerLimits() != l.limits {
		l.server.nextConn = conn
		l.superseded.Store(true)
		return nil, errLimitsChanged
	}
	return conn, nil
}

// Close implements net.Listener. http.Server.Serve closes its listener when it returns.
func (l *limitsListener) Close() error {
	if l.superseded.Load() {
		return nil
	}
	return l.boundedListener.Close()
}
