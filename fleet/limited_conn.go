package fleet

import (
	"fmt"
	"net"
	"sync/atomic"
)

// MessageTooLargeError is returned for a message of a peer that exceeds its limit.
type MessageTooLargeError struct {
	// Limit is in bytes.
	Limit int
}

// Error implements error.
func (e *MessageTooLargeError) Error() string {
	return fmt.Sprintf("fleet: message of a peer exceeds the limit of %d bytes", e.Limit)
}

// limitedConn is a connection from which at most limit bytes are read. Without it, a line or a text that
// doesn't end would be held in memory until the deadline of the connection.
type limitedConn struct {
	net.Conn
	limit, read int
	exceeded    atomic.Bool
}

// Read implements net.Conn.
func (c *limitedConn) Read(p []byte) (int, error) {
	if c.read >= c.limit {
		c.exceeded.Store(true)
		return 0, &MessageTooLargeError{Limit: c.limit}
	}
	n, err := c.Conn.Read(p[:min(len(p), c.limit-c.read)])
	c.read += n
	return n, err
}

// err returns the error of a message that exceeded the limit, since JSON-RPC only reports that the
// connection was closed, and otherwise the given one.
func (c *limitedConn) err(other error) error {
	if c.exceeded.Load() {
		return &MessageTooLargeError{Limit: c.limit}
	}
	return other
}
