package gateway

import (
	"encoding/json"
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
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(HeaderOutcome, string(r.outcome))
	if r.retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(r.retryAfter.Seconds(), 'f', 2, 64))
	}
	// The body holds strings alone, which always encode.
	body, _ := json.Marshal(refusalBody{Error: refusalDetail{Code: r.code, Message: r.message}, Outcome: r.outcome})
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(r.status)
	_, _ = w.Write(body) // a caller that has left reads nothing
}
