package fleet

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"time"
)

// TransferReason is why a transfer between peers was ended.
type TransferReason string

// Reasons of a TransferError.
const (
	// TransferStalled: no byte arrived for a while. The peer or the path to it has failed.
	TransferStalled TransferReason = "stalled"
	// TransferTooSlow: bytes arrived until the end of the time for a whole transfer.
	TransferTooSlow TransferReason = "too_slow"
)

// TransferError is returned for a transfer between peers that ended for lack of progress or of time.
type TransferError struct {
	Reason TransferReason
	// Bytes were transferred.
	Bytes int64
	Took  time.Duration
}

// Error implements error.
func (e *TransferError) Error() string {
	return fmt.Sprintf("fleet: transfer between peers is %s: %d bytes in %v", e.Reason, e.Bytes, e.Took.Round(time.Millisecond))
}

// progressConn is a connection that ends for lack of progress, or after the time that the largest transfer
// takes on the slowest link. Its length alone doesn't end a transfer: one that starts again from its
// beginning takes as long.
type progressConn struct {
	net.Conn
	started time.Time
	// stall is the time without a byte after which the connection ends, total the time after which it
	// ends in any case.
	stall, total time.Duration
	bytes        atomic.Int64
	// failure is the first timeout.
	failure atomic.Pointer[TransferError]
}

func newProgressConn(conn net.Conn, stall, total time.Duration) (*progressConn, error) {
	c := &progressConn{Conn: conn, started: time.Now(), stall: stall, total: total}
	return c, c.extend()
}

// extend moves the deadline before a read or a write. The time between two of them, in which the process
// does other work, doesn't count.
func (c *progressConn) extend() error {
	left := c.total - time.Since(c.started)
	return c.SetDeadline(time.Now().Add(min(c.stall, left)))
}

// record records the result of a read or a write.
func (c *progressConn) record(n int, err error) error {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		e := &TransferError{Reason: TransferStalled, Bytes: c.bytes.Load(), Took: time.Since(c.started)}
		if e.Took >= c.total {
			e.Reason = TransferTooSlow
		}
		c.failure.CompareAndSwap(nil, e)
	}
	c.bytes.Add(int64(n))
	return err
}

// Read implements net.Conn.
func (c *progressConn) Read(p []byte) (int, error) {
	if err := c.extend(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	return n, c.record(n, err)
}

// writeChunk is the number of bytes that are written at once. Progress is recorded between two chunks.
const writeChunk = 32 << 10

// Write implements net.Conn.
func (c *progressConn) Write(p []byte) (written int, err error) {
	for written < len(p) && err == nil {
		if err = c.extend(); err != nil {
			break
		}
		var n int
		n, err = c.Conn.Write(p[written:min(len(p), written+writeChunk)])
		written += n
		err = c.record(n, err)
	}
	return written, err
}

// err returns the timeout that ended the connection, since JSON-RPC only reports that it was closed, and
// otherwise the given error.
func (c *progressConn) err(other error) error {
	if failure := c.failure.Load(); failure != nil {
		return failure
	}
	return other
}
