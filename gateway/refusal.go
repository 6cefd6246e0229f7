package gateway

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/aspenswitch/aspenswitch/retry"
)

// HeaderOutcome says what became of a request that got no upstream's answer.
const HeaderOutcome = "Aspenswitch-Outcome"

// refusal is an answer of the router's own.
type refusal struct {
	status     int
	outcome    retry.Outcome
	code       string
	message    string
	retryAfter time.Duration
}

// Error implements error.
func (r *refusal) Error() string { return r.code + ": " + r.message }

// bad is a request that can't run as it is.
func bad(status int, code, message string) *refusal {
	return &refusal{status: status, outcome: retry.NotRun, code: code, message: message}
}

// notRun is a request that may be sent again after a while.
func notRun(code, message string, after time.Duration) *refusal {
	return &refusal{status: http.StatusServiceUnavailable, outcome: retry.NotRun, code: code, message: message, retryAfter: after}
}

// unknown is a request that may have run and whose answer won't come.
func unknown(status int, code, message string) *refusal {
	return &refusal{status: status, outcome: retry.Unknown, code: code, message: message}
}

// refusalBody is the body of a refusal.
type refusalBody struct {
	Error   refusalDetail `json:"error"`
	Outcome retry.Outcome `json:"outcome"`
}

type refusalDetail struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

// write answers the caller.
func (r *refusal) write(w http.ResponseWriter) {
	body := r.body()
	r.head(w.Header(), len(body))
	w.WriteHeader(r.status)
	_, _ = w.Write(body) // a caller that has left reads nothing
}

// closing is the whole answer as it goes over a connection that then closes.
func (r *refusal) closing() []byte {
	body := r.body()
	h := http.Header{"Connection": {"close"}}
	r.head(h, len(body))
	var out bytes.Buffer
	fmt.Fprintf(&out, "HTTP/1.1 %d %s\r\n", r.status, http.StatusText(r.status))
	_ = h.Write(&out) // a buffer takes all
	out.WriteString("\r\n")
	out.Write(body)
	return out.Bytes()
}

func (r *refusal) head(h http.Header, size int) {
	h.Set("Content-Type", "application/json")
	h.Set(HeaderOutcome, string(r.outcome))
	if r.retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(r.retryAfter.Seconds(), 'f', 2, 64))
	}
	h.Set("Content-Length", strconv.Itoa(size))
}

func (r *refusal) body() []byte {
	// It holds strings alone, which always encode.
	body, _ := json.Marshal(refusalBody{Error: refusalDetail{Code: r.code, Message: r.message}, Outcome: r.outcome})
	return body
}
