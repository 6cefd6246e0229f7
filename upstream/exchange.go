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
	written chan struct{}
	clean   bool
	closed  bool
}

// ErrMismatchedResponse is an answer that belongs to another request.
var ErrMismatchedResponse = errors.New("upstream: the answer is to another request")

// maxForeign is how many answers to other requests are passed over. Upstreams
// may repeat one answer; more are a sign that the connection is out of step.
const maxForeign = 2

// largeBody is written beside reading: an upstream may answer before it has
// read a long body, and both sides' windows are small.
const largeBody = 16 << 10

// Do sends a call. An error is always a *Failure, which tells whether any of
// the request can have left. When ctx ends, the connection is closed, which
// cancels the request at the upstream.
func (p *Pool) Do(ctx context.Context, call *Request) (*Response, error) {
	maxIdle := p.cfg.MaxIdleNonRepeatable
	if call.Repeatable {
		maxIdle = time.Hour
	}
	for {
		c, err := p.get(ctx, call, maxIdle)
		if err != nil {
			return nil, &RequestError{Cause: err}
		}
		a, err := p.exchange(ctx, c, call)
		if err == nil {
			return a, nil
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

func (p *Pool) exchange(ctx context.Context, c *poolConn, call *Request) (*Response, error) {
	a := &Response{conn: c, pool: p, written: make(chan struct{})}
	a.stop = context.AfterFunc(ctx, func() { _ = c.Close() })
	if err := a.write(c, call); err != nil {
		a.stop()
		return nil, err
	}
	resp, err := readAnswer(c, call)
	if err != nil {
		a.stop()
		return nil, &RequestError{Sent: true, Cause: err}
	}
	a.resp = resp
	a.Status, a.Header, a.BodyLength, a.body = resp.StatusCode, resp.Header, resp.ContentLength, resp.Body
	return a, nil
}

// write sends the head and the body.
func (a *Response) write(c *poolConn, call *Request) error {
	var head bytes.Buffer
	head.Grow(1<<10 + min(len(call.Body), largeBody))
	head.WriteString(call.Method + " " + call.URI + " HTTP/1.1\r\nHost: " + call.Host + "\r\n")
	if len(call.Body) > 0 || call.Method != http.MethodGet {
		head.WriteString("Content-Length: " + strconv.Itoa(len(call.Body)) + "\r\n")
	}
	if err := call.Header.Write(&head); err != nil {
		return &RequestError{Cause: err}
	}
	head.WriteString("\r\n")
	if len(call.Body) <= largeBody {
		head.Write(call.Body)
	}
	n, err := c.Write(head.Bytes())
	if err != nil {
		return &RequestError{Sent: n > 0, Cause: err}
	}
	if len(call.Body) <= largeBody {
		close(a.written)
		return nil
	}
	go func() {
		// A failed write shows where the answer is read.
		if _, err := c.Write(call.Body); err == nil {
			close(a.written)
		}
	}()
	return nil
}

// readAnswer reads the head of the answer that belongs to the call.
func readAnswer(c *poolConn, call *Request) (*http.Response, error) {
	req := &http.Request{Method: call.Method}
	for range maxForeign + 1 {
		resp, err := readFinal(c, req)
		if err != nil {
			return nil, err
		}
		id := resp.Header.Get(call.IDHeader)
		if call.IDHeader == "" || id == call.ID {
			return resp, nil
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil || resp.Close {
			return nil, ErrMismatchedResponse
		}
	}
	return nil, ErrMismatchedResponse
}

// readFinal passes over interim answers (status 1xx).
func readFinal(c *poolConn, req *http.Request) (*http.Response, error) {
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
func (a *Response) Read(b []byte) (int, error) {
	n, err := a.body.Read(b)
	if err == io.EOF {
		a.clean = true
	}
	return n, err
}

// Complete reports whether the body ended as it should.
func (a *Response) Complete() bool { return a.clean }

// Buffered reports whether more of the body can be read without waiting.
func (a *Response) Buffered() bool { return a.conn.br.Buffered() > 0 }

// Close ends the use of the connection. It is kept for another request only if
// the answer ended cleanly, nothing is left unread and the request was written
// to its end; else the next answer would be read out of step.
func (a *Response) Close() {
	if a.closed {
		return
	}
	a.closed = true
	if !a.stop() || !a.clean || a.resp.Close || !a.wholeRequest() || a.conn.br.Buffered() > 0 {
		_ = a.conn.Close()
		return
	}
	a.pool.put(a.conn, a.resp)
}

func (a *Response) wholeRequest() bool {
	select {
	case <-a.written:
		return true
	default:
		return false
	}
}
