package upstream

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// idleState is whether an idle connection may be used again.
type idleState uint8

const (
	// idleSound connections are open and have received no data.
	idleSound idleState = iota
	// idleEnded connections have expired, or were closed by the upstream.
	idleEnded
	// idleUnread connections have received data that belongs to no request.
	idleUnread
)

// unreadCheckInterval is the time between two checks of an idle connection for unread data.
const unreadCheckInterval = time.Second

// idleState returns the state of an idle connection. What an upstream sends on one is held by the
// kernel and counts as memory of the process, so that it must not last until the next use.
func (c *poolConn) idleState(now time.Time) idleState {
	if !now.Before(c.expires) {
		return idleEnded
	}
	if now.Sub(c.checked) < unreadCheckInterval {
		return idleSound
	}
	c.checked = now
	return c.connState()
}

// connState returns the state of a connection without a request, whatever its age. An upstream may
// send a second response after the first, or close the connection; in both cases it must not be reused.
func (c *poolConn) connState() idleState {
	if c.br.Buffered() > 0 {
		return idleUnread
	}
	sys, ok := c.Conn.(syscall.Conn)
	if !ok {
		return idleSound
	}
	raw, err := sys.SyscallConn()
	if err != nil {
		return idleEnded
	}
	state := idleEnded
	err = raw.Read(func(fd uintptr) bool {
		var buf [1]byte
		n, _, recvErr := unix.Recvfrom(int(fd), buf[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		switch {
		case recvErr == unix.EAGAIN:
			state = idleSound
		case recvErr == nil && n > 0:
			state = idleUnread
		}
		return true
	})
	if err != nil {
		return idleEnded
	}
	return state
}
