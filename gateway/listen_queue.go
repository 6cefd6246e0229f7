package gateway

import (
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// listenQueue is the kernel's queue of connections that wait to be taken. A listener that
// is no socket has none.
type listenQueue struct {
	raw syscall.RawConn
	// buf takes what callers send and nobody looks at.
	buf []byte
}

const (
	// drainBytes holds most requests whole.
	drainBytes = 32 << 10
	// mostReads bounds what one caller can make the process read.
	mostReads = 4
)

func newListenQueue(l net.Listener) (*listenQueue, error) {
	socket, ok := l.(syscall.Conn)
	if !ok {
		return &listenQueue{}, nil
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return &listenQueue{raw: raw, buf: make([]byte, drainBytes)}, nil
}

// control runs a function on the socket.
func (q *listenQueue) control(do func(fd int) error) error {
	if q.raw == nil {
		return nil
	}
	var failed error
	if err := q.raw.Control(func(fd uintptr) { failed = do(int(fd)) }); err != nil {
		return Error.Wrap(err)
	}
	return Error.Wrap(failed)
}

// bound sets how many connections wait at most: their unread bytes count as the process's
// memory.
func (q *listenQueue) bound(most int) error {
	return q.control(func(fd int) error { return unix.Listen(fd, most) })
}

// waits reports whether a connection waits.
func (q *listenQueue) waits() bool {
	ready := 0
	err := q.control(func(fd int) (err error) {
		ready, err = unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0)
		return err
	})
	return err == nil && ready > 0
}

// refuse implements connQueue.
func (q *listenQueue) refuse(answer []byte, most int) (refused int, err error) {
	err = q.control(func(fd int) error {
		for refused < most {
			c, _, err := unix.Accept4(fd, unix.SOCK_CLOEXEC|unix.SOCK_NONBLOCK)
			if errors.Is(err, unix.EAGAIN) {
				return nil
			}
			if err != nil {
				return err
			}
			refused++
			q.answer(c, answer)
			if err := unix.Close(c); err != nil {
				return err
			}
		}
		return nil
	})
	return refused, err
}

// answer answers what has come on a connection. One on which nothing has come needs no
// answer, and gets none: its caller may not have asked yet.
func (q *listenQueue) answer(c int, answer []byte) {
	if !q.drain(c) {
		return
	}
	// A short answer fits into the buffer of a new connection. A caller that has left
	// reads none.
	_, _ = unix.Write(c, answer)
}

// drain reads what has come, and reports whether anything has. A connection that is closed
// with unread bytes is reset, and its caller might not see the answer.
func (q *listenQueue) drain(c int) (asked bool) {
	for range mostReads {
		n, err := unix.Read(c, q.buf)
		if n > 0 {
			asked = true
		}
		if err != nil || n < len(q.buf) {
			return asked
		}
	}
	return asked
}
