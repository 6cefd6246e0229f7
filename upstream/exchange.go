package upstream

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/aspenswitch/aspenswitch/eventstream"
)

// Request is a request to an upstream, as sent on the wire.
type Request struct {
	Address string
	Method  string
	// URI is the path and query, unchanged from the caller's request.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// BodyDone, if not nil, is called once when the bytes of Body are no longer used, which may be
	// before or after Do has returned.
	BodyDone func()
	// IDHeader is the name of the header that carries ID in both directions. A
	// response with another value belongs to another request.
	IDHeader, ID string
	// Started is the start time of the intended incarnation of the upstream, 0 if it is
	// unknown. An idle connection opened to another incarnation isn't used.
	Started int64
	// Repeatable requests may use any idle connection.
	Repeatable bool
}

// Response is a response from an upstream. Close must be called.
type Response struct {
	Status int
	Header http.Header
	// BodyLength is the length of the body in bytes, -1 if it is unknown.
	BodyLength int64
	// Framing is how the end of the body is marked.
	Framing eventstream.Framing
	body    io.ReadCloser
	conn    *poolConn
	pool    *Pool
	resp    *http.Response
	// idleTimeout is how long the connection may stay idle after the response.
	idleTimeout time.Duration
	stop        func() bool
	// request writes the rest of the request, and window watches the connection meanwhile; it is nil for a
	// short body.
	request  *bodyWriter
	window   *windowWatch
	complete bool
	closed   bool
}

// ErrMismatchedResponse is returned for a response that belongs to another request.
var ErrMismatchedResponse = errors.New("upstream: response belongs to another request")

// maxMismatched is the maximum number of responses to other requests that are skipped.
// Upstreams may repeat a response; more indicate that the connection is out of sync.
const maxMismatched = 2

// Do sends a request. Errors are always of type *RequestError, which records whether
// any part of the request may have been sent. When ctx ends, the connection is closed,
// which cancels the request at the upstream. The request isn't read after Do has returned, but the
// bytes of its body may still be, until BodyDone is called.
func (p *Pool) Do(ctx context.Context, request *Request) (*Response, error) {
	r, err := p.send(ctx, request)
	if err != nil {
		request.bodyDone()
		return nil, err
	}
	if err := r.readHeader(request); err != nil {
		r.stop()
		r.window.stop()
		_ = r.conn.Close() // which also ends a body that is still being written
		return nil, &RequestError{Sent: true, Cause: err}
	}
	return r, nil
}

// bodyDone reports that the bytes of the body are no longer used.
func (r *Request) bodyDone() {
	if r.BodyDone != nil {
		r.BodyDone()
	}
}

// send connects to the upstream, writes the request's header and starts to write its body.
func (p *Pool) send(ctx context.Context, request *Request) (*Response, error) {
	maxIdle := p.cfg.MaxIdleNonRepeatable
	if request.Repeatable {
		maxIdle = time.Hour
	}
	for {
		c, err := p.get(ctx, request, maxIdle)
		if err != nil {
			return nil, &RequestError{Cause: err}
		}
		r := &Response{conn: c, pool: p, stop: context.AfterFunc(ctx, func() { _ = c.Close() })}
		if err = r.write(request); err == nil {
			return r, nil
		}
		r.stop()
		_ = c.Close()
		// An idle connection that broke before any byte was sent does not indicate
		// that the upstream has failed: a new connection may work.
		if !c.reused || !NotSent(err) || ctx.Err() != nil {
			return nil, err
		}
	}
}

// readHeader reads the header of the response.
func (r *Response) readHeader(request *Request) error {
	cfg := &r.pool.cfg
	r.conn.header = headerLimit{maxBytes: cfg.MaxHeaderBytes, maxTime: cfg.MaxHeaderTime}
	resp, err := readResponse(r.conn, request)
	if err != nil {
		return err
	}
	r.resp, r.idleTimeout = resp, r.pool.idleTimeout(resp.Header)
	r.Status, r.Header, r.BodyLength, r.body = resp.StatusCode, resp.Header, resp.ContentLength, resp.Body
	r.Framing = eventstream.FramingOf(request.Method, resp)
	return nil
}

// write writes the request's header and starts to write its body.
func (r *Response) write(request *Request) error {
	inline, rest := request.Body, []byte(nil)
	if len(request.Body) > maxInlineBody {
		inline, rest = nil, request.Body
	}
	var head bytes.Buffer
	head.Grow(1<<10 + len(inline))
	head.WriteString(request.Method + " " + request.URI + " HTTP/1.1\r\nHost: " + request.Host + "\r\n")
	if len(request.Body) > 0 || request.Method != http.MethodGet {
		head.WriteString("Content-Length: " + strconv.Itoa(len(request.Body)) + "\r\n")
	}
	if err := request.Header.Write(&head); err != nil {
		return &RequestError{Cause: err}
	}
	head.WriteString("\r\n")
	head.Write(inline)
	n, err := r.conn.Write(head.Bytes())
	if err != nil {
		return &RequestError{Sent: n > 0, Cause: err}
	}
	r.request = startBody(r.conn, rest, request.bodyDone)
	if len(rest) > 0 {
		r.window = r.pool.watchWindow(r.conn, r.request)
	}
	return nil
}

// readResponse reads the header of the response that belongs to the request.
func readResponse(c *poolConn, request *Request) (*http.Response, error) {
	req := &http.Request{Method: request.Method}
	for range maxMismatched + 1 {
		resp, err := readFinalResponse(c, req)
		if err != nil {
			return nil, err
		}
		id := resp.Header.Get(request.IDHeader)
		if request.IDHeader == "" || id == request.ID {
			return resp, nil
		}
		if err := skipBody(c, resp.Body); err != nil {
			return nil, err
		}
		if resp.Close {
			return nil, ErrMismatchedResponse
		}
	}
	return nil, ErrMismatchedResponse
}

// maxSkippedBytes and maxSkippedTime limit the body of a response to another request. Upstreams
// repeat responses that they have already sent, so its body arrives at once.
const (
	maxSkippedBytes = 1 << 20
	maxSkippedTime  = time.Second
)

// skipBody reads the body of a response to another request.
func skipBody(c *poolConn, body io.Reader) error {
	n, err := c.discard(body, maxSkippedBytes, maxSkippedTime)
	switch {
	case err == nil, errors.Is(err, os.ErrDeadlineExceeded):
		return &MalformedResponseError{Reason: MismatchedBody, Bytes: n}
	case err == io.EOF:
		return nil
	}
	return ErrMismatchedResponse
}

// readFinalResponse reads a response header, skipping interim responses (status 1xx).
func readFinalResponse(c *poolConn, req *http.Request) (*http.Response, error) {
	for {
		resp, err := readHeader(c, req)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
	}
}

// readHeader reads one response header.
func readHeader(c *poolConn, req *http.Request) (*http.Response, error) {
	buffered, _ := c.br.Peek(c.br.Buffered()) // what is buffered can be peeked
	c.header.begin(buffered)
	defer c.header.end()
	if err := expectProtocol(c); err != nil {
		return nil, err
	}
	resp, err := http.ReadResponse(c.br, req)
	if err == nil {
		if err := newInvalidHead(c.header.checker.Err(), c.header.received); err != nil {
			return nil, err
		}
		return resp, nil
	}
	// The parser may report what it has read instead of the limit at which the read ended.
	if _, limitErr := c.header.room(); limitErr != nil {
		return nil, limitErr
	}
	if isConnError(err) {
		return nil, err
	}
	if c.header.readErr == io.EOF {
		return nil, io.ErrUnexpectedEOF // the connection ended inside a line, which the parser took for a whole one
	}
	if c.header.readErr != nil {
		return nil, c.header.readErr
	}
	return nil, &MalformedResponseError{Reason: InvalidHeader, Bytes: c.header.received, Cause: err}
}

// protocolName is the start of every status line (RFC 9112, section 4).
const protocolName = "HTTP/"

// expectProtocol waits for the start of a status line. It returns an error at the first byte that
// doesn't belong to one, since a line that doesn't end might never be parsed.
func expectProtocol(c *poolConn) error {
	for i := range len(protocolName) {
		start, err := c.br.Peek(i + 1)
		if err != nil {
			return err
		}
		if start[i] != protocolName[i] {
			return &MalformedResponseError{Reason: NotHTTP, Bytes: c.header.received}
		}
	}
	return nil
}

// Read implements io.Reader on the body. It returns io.EOF only if the body is complete.
//
// If a body is framed by the end of its connection and the request is still being written, Read waits for
// the writer: the kernel reports a reset once, and if the writer gets the error, the reader sees a regular
// end. An upstream that has closed only its side of the connection reads on, and the writer succeeds.
func (r *Response) Read(b []byte) (int, error) {
	n, err := r.body.Read(b)
	if err == io.EOF && r.Framing == eventstream.Connection {
		if writeErr := r.request.wait(); writeErr != nil {
			return n, writeErr
		}
	}
	switch {
	case err == nil:
	case err == io.EOF:
		r.complete = true
	case !isConnError(err):
		err = &MalformedResponseError{Reason: InvalidBody, Bytes: int64(n), Cause: err}
	}
	return n, err
}

// Discard reads the rest of the body, so that the connection can be reused. It gives up, and Close
// closes the connection, after maxBytes bytes or maxTime.
func (r *Response) Discard(maxBytes int64, maxTime time.Duration) {
	if r.Framing == eventstream.Connection {
		return // the connection can't be reused
	}
	_, _ = r.conn.discard(r, maxBytes, maxTime)
}

// Complete reports whether the body was read to its regular end.
func (r *Response) Complete() bool { return r.complete }

// Buffered reports whether more data can be read without blocking.
func (r *Response) Buffered() bool { return r.conn.br.Buffered() > 0 }

// Close returns the connection to the pool if the response is complete, no data is left
// unread and the request was written completely. Otherwise it closes the connection:
// the next request would read data that doesn't belong to its response.
func (r *Response) Close() {
	if r.closed {
		return
	}
	r.closed = true
	r.window.stop()
	if !r.stop() || !r.complete || r.resp.Close || !r.request.written() || r.conn.br.Buffered() > 0 {
		_ = r.conn.Close()
		return
	}
	r.pool.put(r.conn, r.idleTimeout)
}
