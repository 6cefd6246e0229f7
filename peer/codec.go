package peer

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"io"

	"github.com/sourcegraph/jsonrpc2"
	"github.com/zeebo/errs"
)

// Error is the class of this package's errors.
var Error = errs.Class("peer")

// maxMessage is the maximum size of a message in bytes. It limits the memory that a
// peer can make this process allocate.
const maxMessage = 8 << 20

// stream is a jsonrpc2.ObjectStream that prefixes each message with its length and
// flushes the compressor after it.
type stream struct {
	conn   *flateConn
	reader *bufio.Reader
	codec  jsonrpc2.VarintObjectCodec
}

func newStream(conn *flateConn) *stream {
	return &stream{conn: conn, reader: bufio.NewReader(conn)}
}

// WriteObject writes a message. It must not be called concurrently.
func (s *stream) WriteObject(v any) error {
	if err := s.codec.WriteObject(s.conn, v); err != nil {
		return err
	}
	return s.conn.Flush()
}

// ReadObject reads the next message.
func (s *stream) ReadObject(v any) error {
	size, err := binary.ReadUvarint(s.reader)
	if err != nil {
		return err
	}
	if size > maxMessage {
		return Error.New("message of %d bytes exceeds the limit of %d bytes", size, maxMessage)
	}
	// The memory grows with what has arrived, not with the announced size.
	data, err := io.ReadAll(io.LimitReader(s.reader, int64(size)))
	if err != nil {
		return err
	}
	if uint64(len(data)) < size {
		return io.ErrUnexpectedEOF
	}
	return json.Unmarshal(data, v)
}

func (s *stream) Close() error { return s.conn.Close() }
