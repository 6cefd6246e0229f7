package upstream

import (
	"errors"
	"fmt"
	"io"
)

// maxInlineBody is the maximum size in bytes of a body that is written before the
// response is read. A larger one is written concurrently: an upstream may respond
// before it has read the whole body, and the TCP windows of both sides are small.
const maxInlineBody = 16 << 10

// errUnwritten is returned for a response that ended with its connection before the request was written.
var errUnwritten = errors.New("upstream: the connection ended before the request was written")

// bodyWriter writes the part of a request's body that isn't sent with the header. It has its own
// reference to the bytes: the caller may drop its own as soon as it has the response.
type bodyWriter struct {
	// done is closed when nothing more is written.
	done chan struct{}
	// err is nil if the whole body was written. It is valid once done is closed.
	err error
}

// startBody writes body concurrently and then calls release. A body of which nothing is left to write is
// complete at once.
func startBody(w io.Writer, body []byte, release func()) *bodyWriter {
	b := &bodyWriter{done: make(chan struct{})}
	if len(body) == 0 {
		close(b.done)
		release()
		return b
	}
	go func() {
		defer release()
		defer close(b.done)
		n, err := w.Write(body)
		if err == nil && n < len(body) {
			err = io.ErrShortWrite
		}
		b.err = err
	}()
	return b
}

// ended reports whether nothing more is written.
func (b *bodyWriter) ended() bool {
	select {
	case <-b.done:
		return true
	default:
		return false
	}
}

// written reports whether the whole body has been written.
func (b *bodyWriter) written() bool { return b.ended() && b.err == nil }

// wait waits until nothing more is written. It returns an error if the body was not written completely.
func (b *bodyWriter) wait() error {
	<-b.done
	if b.err != nil {
		return fmt.Errorf("%w: %w", errUnwritten, b.err)
	}
	return nil
}
