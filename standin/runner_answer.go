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

// run works and answers. It returns false if the connection is of no more use.
func (r *Runner) run(c net.Conn, req *http.Request, next <-chan error, work Work, fault RunnerFault, last string) bool {
	if !waitOrGone(work.ProcessingTime, next) {
		return false
	}
	if work.Events > 0 && (fault == RunnerHealthy || fault == RunnerTruncatedResponse) {
		return r.stream(c, req, next, work, fault)
	}
	raw, keep := r.answer(req.Header.Get(r.names.RequestID), fault, last)
	_, err := io.WriteString(c, raw)
	return err == nil && keep
}

// waitOrGone waits; it returns false if the caller left meanwhile.
func waitOrGone(d time.Duration, next <-chan error) bool {
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-next:
		return false
	}
}

// stream answers with events. With RunnerTruncatedResponse it breaks off within one.
func (r *Runner) stream(c net.Conn, req *http.Request, next <-chan error, work Work, fault RunnerFault) bool {
	id := req.Header.Get(r.names.RequestID)
	out := httputil.NewChunkedWriter(c)
	head := r.head(http.StatusOK, id, r.names.Seal+": seal", "Content-Type: text/event-stream", "Transfer-Encoding: chunked")
	if _, err := io.WriteString(c, head); err != nil {
		return false
	}
	from, err := strconv.Atoi(req.Header.Get("Last-Event-Id"))
	if err != nil {
		from = 0 // none: the stream begins
	}
	for n := from + 1; n <= work.Events; n++ {
		event := StreamEvent(id, n)
		if fault == RunnerTruncatedResponse && n-from > work.Events/2 {
			_, _ = io.WriteString(out, event[:len(event)/2]) // the connection ends either way
			return false
		}
		if _, err := io.WriteString(out, event); err != nil || !waitOrGone(work.EventInterval, next) {
			return false
		}
	}
	if out.Close() != nil {
		return false
	}
	_, err = io.WriteString(c, "\r\n")
	return err == nil
}

// StreamEvent is the n-th event of a request's stream.
func StreamEvent(id string, n int) string { return fmt.Sprintf("id: %d\ndata: %s %d\n\n", n, id, n) }

// answer returns the bytes to send and whether the connection goes on.
func (r *Runner) answer(id string, fault RunnerFault, last string) (raw string, keep bool) {
	switch fault {
	case RunnerServerError:
		return r.head(http.StatusInternalServerError, id, r.names.Seal+": seal", "Content-Length: 0"), true
	case RunnerDroppedResponse:
		return "", false
	case RunnerDuplicateResponse:
		return r.whole(id) + r.whole(id), true
	case RunnerStaleResponse:
		return last + r.whole(id), true
	case RunnerMalformedResponse:
		return "\x00\xffnothing of the kind\r\n\r\n", false
	case RunnerTruncatedResponse:
		return r.head(http.StatusOK, id, r.names.Seal+": seal", "Content-Length: 100") + "half", false
	case RunnerNoContentLength:
		return r.head(http.StatusOK, id, r.names.Seal+": seal", "Connection: close") + r.body(id), false
	case RunnerUnresponsive:
		return "", true
	case RunnerMissingSeal:
		return r.head(http.StatusOK, id, "Content-Length: 0"), true
	case RunnerHealthy, RunnerFull:
	}
	return r.whole(id), true
}

func (r *Runner) body(id string) string { return r.id + " ran " + id }

func (r *Runner) whole(id string) string {
	body := r.body(id)
	return r.head(http.StatusOK, id, r.names.Seal+": seal", fmt.Sprintf("Content-Length: %d", len(body))) + body
}

func (r *Runner) head(status int, id string, lines ...string) string {
	head := fmt.Sprintf("HTTP/1.1 %d %s\r\n%s: %s\r\n", status, http.StatusText(status), r.names.RequestID, id)
	if r.leaving.Load() {
		head += r.names.Leaving + ": 1\r\n"
	}
	return head + strings.Join(lines, "\r\n") + "\r\n\r\n"
}
