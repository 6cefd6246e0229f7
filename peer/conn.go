package peer

import (
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/klauspost/compress/flate"
)

// deadlineConn sets a deadline for every write, and for every read if readTimeout is
// not 0. Without it an unresponsive connection would block the writer until the
// kernel gives up, many minutes later.
type deadlineConn struct {
	net.Conn
	readTimeout, writeTimeout time.Duration
	bytesSent                 *atomic.Int64
}

func (c *deadlineConn) Read(p []byte) (int, error) {
	if c.readTimeout > 0 {
		if err := c.SetReadDeadline(time.Now().Add(c.readTimeout)); err != nil {
			return 0, err
		}
	}
	return c.Conn.Read(p)
}

func (c *deadlineConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.writeTimeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	c.bytesSent.Add(int64(n))
	return n, err
}

// CompressionLevel is the flate level for messages between routers. At this level,
// small messages that repeat most of their bytes compress well.
const CompressionLevel = 6

// flateConn compresses each direction as one stream. Messages repeat most of their
// bytes, so a window over the whole stream saves far more than one per message.
type flateConn struct {
	conn net.Conn
	r    io.ReadCloser
	w    *flate.Writer
}

func newFlateConn(conn net.Conn) (*flateConn, error) {
	w, err := flate.NewWriter(conn, CompressionLevel)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return &flateConn{conn: conn, r: flate.NewReader(conn), w: w}, nil
}

func (c *flateConn) Read(p []byte) (int, error) { return c.r.Read(p) }

// Write compresses p. The data is not sent until Flush.
func (c *flateConn) Write(p []byte) (int, error) { return c.w.Write(p) }

// Flush sends the data written so far.
func (c *flateConn) Flush() error { return c.w.Flush() }

func (c *flateConn) Close() error { return c.conn.Close() }
