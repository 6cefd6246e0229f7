package fleet

import "net"

// limitedConn is a connection from which at most left more bytes are read.
type limitedConn struct {
	net.Conn
	left int
}

// Read implements net.Conn.
func (c *limitedConn) Read(p []byte) (int, error) {
	if c.left <= 0 {
		return 0, Error.New("message of a peer exceeds the limit")
	}
	n, err := c.Conn.Read(p[:min(len(p), c.left)])
	c.left -= n
	return n, err
}
