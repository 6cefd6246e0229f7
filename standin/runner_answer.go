package standin

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"strconv"
	"strings"
	"time"
)

// respond runs a request and sends the response. It returns false if the connection can't be used
// any more.
func (r *Runner) respond(c net.Conn, req *http.Request, nextRequest <-chan error, work Work, fault RunnerFault, lastResponse string) bool {
	if !sleepWhileConnected(work.ProcessingTime, nextRequest) {
		return false
	}
	if work.Events > 0 && fault.hasStreams() {
		return r.writeStream(c, req, nextRequest, work, fault)
	}
	raw, keepAlive := r.response(req.Header.Get(r.headers.RequestID), fault, lastResponse)
	_, err := io.WriteString(c, raw)
	return err == nil && keepAlive
}

// sleepWhileConnected waits for d. It returns false early if the caller disconnects or sends
// more data.
func sleepWhileConnected(d time.Duration, nextRequest <-chan error) bool {
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-nextRequest:
		return false
	}
}

// hasStreams reports whether a runner with the fault sends streams as streams.
func (f RunnerFault) hasStreams() bool {
	return f == RunnerHealthy || f == RunnerTruncatedResponse || f == RunnerUnframedStream || f == RunnerUnframedTruncatedStream
}

// unframed reports whether the stream of a request ends with its connection.
func (r *Runner) unframed(req *http.Request, fault RunnerFault) bool {
	return fault == RunnerUnframedStream || fault == RunnerUnframedTruncatedStream || r.opts.Unframed != nil && r.opts.Unframed(req)
}

// writeStream sends a stream of events. With the faults that truncate it stops within an event.
func (r *Runner) writeStream(c net.Conn, req *http.Request, nextRequest <-chan error, work Work, fault RunnerFault) bool {
	id, unframed := req.Header.Get(r.headers.RequestID), r.unframed(req, fault)
	head, out := []string{r.headers.Seal + ": seal", "Content-Type: text/event-stream"}, io.WriteCloser(plainWriter{c})
	if !unframed {
		head, out = append(head, "Transfer-Encoding: chunked"), httputil.NewChunkedWriter(c)
	}
	if _, err := io.WriteString(c, r.responseHead(http.StatusOK, id, head...)); err != nil {
		return false
	}
	from, err := strconv.Atoi(req.Header.Get("Last-Event-Id"))
	if err != nil {
		from = 0 // no Last-Event-Id: the stream starts at the first event
	}
	breakAfter := 0
	if r.opts.BreakStreamAfter != nil {
		breakAfter = r.opts.BreakStreamAfter(req)
	}
	truncates := fault == RunnerTruncatedResponse || fault == RunnerUnframedTruncatedStream
	for n := from + 1; n <= work.Events; n++ {
		event, breaks := StreamEvent(id, n, r.opts.Version), breakAfter > 0 && n-from > breakAfter
		if breaks && !unframed {
			abort(c)
			return false
		}
		if breaks || truncates && n-from > work.Events/2 {
			_, _ = io.WriteString(out, event[:len(event)/2]) // the connection ends either way
			return false
		}
		if _, err := io.WriteString(out, event); err != nil || !sleepWhileConnected(work.EventInterval, nextRequest) {
			return false
		}
	}
	if unframed || out.Close() != nil {
		return false
	}
	_, err = io.WriteString(c, "\r\n")
	return err == nil
}

// plainWriter writes a body that ends with its connection.
type plainWriter struct{ net.Conn }

// Close implements io.Closer. The connection is closed by its owner.
func (plainWriter) Close() error { return nil }

// StreamEvent returns the n-th event of a request's stream, as a runner of a software version sends it.
func StreamEvent(id string, n int, version string) string {
	return fmt.Sprintf("id: %d\ndata: %s %d%s\n\n", n, id, n, version)
}

// response returns the bytes to send and whether the connection stays open.
func (r *Runner) response(id string, fault RunnerFault, lastResponse string) (raw string, keepAlive bool) {
	switch fault {
	case RunnerServerError:
		return r.responseHead(http.StatusInternalServerError, id, r.headers.Seal+": seal", "Content-Length: 0"), true
	case RunnerDroppedResponse:
		return "", false
	case RunnerDuplicateResponse:
		return r.completeResponse(id) + r.completeResponse(id), true
	case RunnerStaleResponse:
		return lastResponse + r.completeResponse(id), true
	case RunnerMalformedResponse:
		return "\x00\xffnothing of the kind\r\n\r\n", false
	case RunnerTruncatedResponse:
		return r.responseHead(http.StatusOK, id, r.headers.Seal+": seal", "Content-Length: 100") + "half", false
	case RunnerNoContentLength:
		return r.responseHead(http.StatusOK, id, r.headers.Seal+": seal", "Connection: close") + r.body(id), false
	case RunnerUnresponsive:
		return "", true
	case RunnerMissingSeal:
		return r.responseHead(http.StatusOK, id, "Content-Length: 0"), true
	case RunnerHealthy, RunnerFull, RunnerUnframedStream, RunnerUnframedTruncatedStream:
	}
	return r.completeResponse(id), true
}

func (r *Runner) body(id string) string { return r.id + " ran " + id }

func (r *Runner) completeResponse(id string) string {
	body := r.body(id)
	return r.responseHead(http.StatusOK, id, r.headers.Seal+": seal", fmt.Sprintf("Content-Length: %d", len(body))) + body
}

func (r *Runner) responseHead(status int, id string, lines ...string) string {
	head := fmt.Sprintf("HTTP/1.1 %d %s\r\n%s: %s\r\n", status, http.StatusText(status), r.headers.RequestID, id)
	if r.leaving.Load() {
		head += r.headers.Leaving + ": 1\r\n"
	}
	return head + strings.Join(lines, "\r\n") + "\r\n\r\n"
}
