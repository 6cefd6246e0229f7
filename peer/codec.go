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

// maxMessage bounds what a peer may make this process read into memory.
const maxMessage = 8 << 20

// stream frames messages by their length and flushes the compressor after each.
type stream struct {
	conn   *flateConn
	reader *bufio.Reader
	codec  jsonrpc2.VarintObjectCodec
}

func newStream(conn *flateConn) *stream {
	return &stream{conn: conn, reader: bufio.NewReader(conn)}
}

// WriteObject is called by one goroutine at a time.
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
		return Error.New("message of %d bytes, at most %d are taken", size, maxMessage)
	}
	data := make([]byte, size)
	if _, err := io.ReadFull(s.reader, data); err != nil {
		return err
	}
	return json.Unmarshal(data, v)
}

func (s *stream) Close() error { return s.conn.Close() }
