package upstream

import (
	"fmt"
	"io"
	"net/http/httptrace"
	"sync"
)

// requestTrace follows how http.Transport sends one request. Its methods are called by the goroutines of
// the transport.
type requestTrace struct {
	mu sync.Mutex
	// attempt is the latest attempt to send the request, nil before the first connection.
	attempt *writeAttempt
}

// writeAttempt is the writing of a request on one connection.
type writeAttempt struct {
	done chan struct{}
	// err is valid once done is closed.
	err error
}

// hooks returns the functions that the transport calls.
func (t *requestTrace) hooks() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: t.gotConn, WroteRequest: t.wroteRequest}
}

func (t *requestTrace) gotConn(httptrace.GotConnInfo) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.attempt = &writeAttempt{done: make(chan struct{})}
}

func (t *requestTrace) wroteRequest(info httptrace.WroteRequestInfo) {
	attempt := t.latest()
	select {
	case <-attempt.done: // an earlier attempt ends after a later one
	default:
		attempt.err = info.Err
		close(attempt.done)
	}
}

func (t *requestTrace) latest() *writeAttempt {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.attempt
}

// sent reports whether a part of the request may have been sent.
func (t *requestTrace) sent() bool { return t.latest() != nil }

// wait waits until the request has been written, or can't be any more. The transport closes the
// connection soon after the end of a response, whatever is left of the request.
func (t *requestTrace) wait() error {
	attempt := t.latest()
	<-attempt.done
	if attempt.err != nil {
		return fmt.Errorf("%w: %w", errUnwritten, attempt.err)
	}
	return nil
}

// unframedBody is a body that ends with its connection. It is complete only if the request was written:
// an upstream that ends during the upload closes its connection too.
type unframedBody struct {
	io.ReadCloser
	trace *requestTrace
}

// Read implements io.Reader.
func (b *unframedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		if writeErr := b.trace.wait(); writeErr != nil {
			err = writeErr
		}
	}
	return n, err
}
