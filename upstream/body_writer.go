package upstream

import "io"

// maxInlineBody is the maximum size in bytes of a body that is written before the
// response is read. A larger one is written concurrently: an upstream may respond
// before it has read the whole body, and the TCP windows of both sides are small.
const maxInlineBody = 16 << 10

// bodyWriter writes the part of a request's body that isn't sent with the header. It has its own
// reference to the bytes: the caller may drop its own as soon as it has the response.
type bodyWriter struct {
	// done is closed when nothing more is written.
	done chan struct{}
	// complete is whether the whole body was written. It is valid once done is closed.
	complete bool
}

// startBody writes body concurrently and then calls release. A body of which nothing is left to write is
// complete at once.
func startBody(w io.Writer, body []byte, release func()) *bodyWriter {
	b := &bodyWriter{done: make(chan struct{})}
	if len(body) == 0 {
		b.complete = true
		close(b.done)
		release()
		return b
	}
	go func() {
		defer release()
		defer close(b.done)
		// A write error surfaces when the response is read.
		n, err := w.Write(body)
		b.complete = err == nil && n == len(body)
	}()
	return b
}

// written reports whether the whole body has been written.
func (b *bodyWriter) written() bool {
	select {
	case <-b.done:
		return b.complete
	default:
		return false
	}
}
