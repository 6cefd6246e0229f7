package gateway

import (
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// listenQueue is the kernel's accept queue of a listener. For a listener that is not a socket
// all methods are no-ops.
type listenQueue struct {
	raw syscall.RawConn
	// buf receives request data that is discarded.
	buf []byte
}

const (
	// readBufferBytes is enough for most complete requests.
	readBufferBytes = 32 << 10
	// maxReads limits how much data the process reads from one refused caller.
	maxReads = 4
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
	return &listenQueue{raw: raw, buf: make([]byte, readBufferBytes)}, nil
}

// control calls do with the socket's file descriptor.
func (q *listenQueue) control(do func(fd int) error) error {
	if q.raw == nil {
		return nil
	}
	var opErr error
	if err := q.raw.Control(func(fd uintptr) { opErr = do(int(fd)) }); err != nil {
		return Error.Wrap(err)
	}
	return Error.Wrap(opErr)
}

// setBacklog limits the number of connections that wait to be accepted, since their unread
// bytes count as memory of the process.
func (q *listenQueue) setBacklog(limit int) error {
	return q.control(func(fd int) error { return unix.Listen(fd, limit) })
}

// pending implements connQueue.
func (q *listenQueue) pending() bool {
	ready := 0
	err := q.control(func(fd int) (err error) {
		ready, err = unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0)
		return err
	})
	return err == nil && ready > 0
}

// refuse implements connQueue.
func (q *listenQueue) refuse(response []byte, limit int) (refused int, err error) {
	err = q.control(func(fd int) error {
		for refused < limit {
			c, _, err := unix.Accept4(fd, unix.SOCK_CLOEXEC|unix.SOCK_NONBLOCK)
			if errors.Is(err, unix.EAGAIN) {
				return nil
			}
			if err != nil {
				return err
			}
			refused++
			q.respond(c, response)
			if err := unix.Close(c); err != nil {
				return err
			}
		}
		return nil
	})
	return refused, err
}

// respond writes the response to a connection on which request data has arrived. Other
// connections get no response, since their callers may not have sent a request yet.
func (q *listenQueue) respond(c int, response []byte) {
	if !q.readPending(c) {
		return
	}
	// The response fits into the send buffer of a new connection. An error means that the
	// caller has disconnected.
	_, _ = unix.Write(c, response)
}

// readPending reads the data that has arrived and reports whether there was any. A connection
// that is closed with unread bytes is reset, and its caller might not see the response.
func (q *listenQueue) readPending(c int) (received bool) {
	for range maxReads {
		n, err := unix.Read(c, q.buf)
		if n > 0 {
			received = true
		}
		if err != nil || n < len(q.buf) {
			return received
		}
	}
	return received
}
