package upstream

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"
)

// Request is a request to an upstream, as it goes on the wire.
type Request struct {
	Address string
	Method  string
	// URI is the path and query as the caller sent them.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// IDHeader names the header that carries ID in both directions. An answer
	// with another value belongs to another request.
	IDHeader, ID string
	// Started names the start of the upstream that is meant, 0 if it isn't known. An
	// idle connection that was opened to another start isn't used.
	Started int64
	// Repeatable calls may use any idle connection.
	Repeatable bool
}

// Response is an upstream's answer. Close must be called.
type Response struct {
	Status int
	Header http.Header
	// BodyLength of the body, -1 if it isn't known.
	BodyLength int64
	body       io.ReadCloser
	conn       *poolConn
	pool       *Pool
	resp       *http.Response
	stop       func() bool
	// written is closed once the whole request has been written.
	written  chan struct{}
	complete bool
	closed   bool
}

// ErrMismatchedResponse is an answer that belongs to another request.
var ErrMismatchedResponse = errors.New("upstream: the answer is to another request")

// maxMismatched is how many answers to other requests are passed over. Upstreams
// may repeat one answer; more are a sign that the connection is out of step.
const maxMismatched = 2

// maxInlineBody is written beside reading: an upstream may answer before it has
// read a long body, and both sides' windows are small.
const maxInlineBody = 16 << 10

// Do sends a call. An error is always a *Failure, which tells whether any of
// the request can have left. When ctx ends, the connection is closed, which
// cancels the request at the upstream.
func (p *Pool) Do(ctx context.Context, request *Request) (*Response, error) {
	maxIdle := p.cfg.MaxIdleNonRepeatable
	if request.Repeatable {
		maxIdle = time.Hour
	}
	for {
		c, err := p.get(ctx, request, maxIdle)
		if err != nil {
			return nil, &RequestError{Cause: err}
		}
		resp, err := p.exchange(ctx, c, request)
		if err == nil {
			return resp, nil
		}
		_ = c.Close()
		// An idle connection that broke before a byte left says nothing of the
		// upstream: a new one may work.
		if c.reused && NotSent(err) && ctx.Err() == nil {
			continue
		}
		return nil, err
	}
}

func (p *Pool) exchange(ctx context.Context, c *poolConn, request *Request) (*Response, error) {
	r := &Response{conn: c, pool: p, written: make(chan struct{})}
	r.stop = context.AfterFunc(ctx, func() { _ = c.Close() })
	if err := r.write(c, request); err != nil {
		r.stop()
		return nil, err
	}
	resp, err := readResponse(c, request)
	if err != nil {
		r.stop()
		return nil, &RequestError{Sent: true, Cause: err}
	}
	r.resp = resp
	r.Status, r.Header, r.BodyLength, r.body = resp.StatusCode, resp.Header, resp.ContentLength, resp.Body
	return r, nil
}

// write sends the head and the body.
func (r *Response) write(c *poolConn, request *Request) error {
	var head bytes.Buffer
	head.Grow(1<<10 + min(len(request.Body), maxInlineBody))
	head.WriteString(request.Method + " " + request.URI + " HTTP/1.1\r\nHost: " + request.Host + "\r\n")
	if len(request.Body) > 0 || request.Method != http.MethodGet {
		head.WriteString("Content-Length: " + strconv.Itoa(len(request.Body)) + "\r\n")
	}
	if err := request.Header.Write(&head); err != nil {
		return &RequestError{Cause: err}
	}
	head.WriteString("\r\n")
	if len(request.Body) <= maxInlineBody {
		head.Write(request.Body)
	}
	n, err := c.Write(head.Bytes())
	if err != nil {
		return &RequestError{Sent: n > 0, Cause: err}
	}
	if len(request.Body) <= maxInlineBody {
		close(r.written)
		return nil
	}
	go func() {
		// A failed write shows where the answer is read.
		if _, err := c.Write(request.Body); err == nil {
			close(r.written)
		}
	}()
	return nil
}

// readResponse reads the head of the answer that belongs to the call.
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
		if _, err := io.Copy(io.Discard, resp.Body); err != nil || resp.Close {
			return nil, ErrMismatchedResponse
		}
	}
	return nil, ErrMismatchedResponse
}

// readFinalResponse passes over interim answers (status 1xx).
func readFinalResponse(c *poolConn, req *http.Request) (*http.Response, error) {
	for {
		resp, err := http.ReadResponse(c.br, req)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
	}
}

// Read implements io.Reader on the body. io.EOF means that the whole body came.
func (r *Response) Read(b []byte) (int, error) {
	n, err := r.body.Read(b)
	if err == io.EOF {
		r.complete = true
	}
	return n, err
}

// Complete reports whether the body ended as it should.
func (r *Response) Complete() bool { return r.complete }

// Buffered reports whether more of the body can be read without waiting.
func (r *Response) Buffered() bool { return r.conn.br.Buffered() > 0 }

// Close ends the use of the connection. It is kept for another request only if
// the answer ended cleanly, nothing is left unread and the request was written
// to its end; else the next answer would be read out of step.
func (r *Response) Close() {
	if r.closed {
		return
	}
	r.closed = true
	if !r.stop() || !r.complete || r.resp.Close || !r.requestWritten() || r.conn.br.Buffered() > 0 {
		_ = r.conn.Close()
		return
	}
	r.pool.put(r.conn, r.resp)
}

func (r *Response) requestWritten() bool {
	select {
	case <-r.written:
		return true
	default:
		return false
	}
}
