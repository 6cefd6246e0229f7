package callers

import (
	"context"
	"errors"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/aspenswitch/aspenswitch/retry"
	"github.com/aspenswitch/aspenswitch/router"
	"github.com/aspenswitch/aspenswitch/sched"
)

// apiError is an error response of this API, in the format that clients of the
// OpenAI API expect.
type apiError struct {
	status     int
	outcome    retry.Outcome
	code       string
	message    string
	retryAfter time.Duration
}

// Error implements error.
func (e *apiError) Error() string { return e.code + ": " + e.message }

// errorBody is the body of an error response.
type errorBody struct {
	Error   errorDetail   `json:"error"`
	Outcome retry.Outcome `json:"outcome"`
}

type errorDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
}

func (e *apiError) body() errorBody {
	kind := "server_error"
	if e.status < http.StatusInternalServerError {
		kind = "invalid_request_error"
	}
	return errorBody{Error: errorDetail{Message: e.message, Type: kind, Code: e.code}, Outcome: e.outcome}
}

// invalidRequest returns the error for a request that can't run and was not sent.
func invalidRequest(status int, code, message string) *apiError {
	return &apiError{status: status, outcome: retry.NotRun, code: code, message: message}
}

// outcomeUnknown returns the error for a request that may have run but whose
// response is not available.
func outcomeUnknown(message string) *apiError {
	return &apiError{
		status: http.StatusBadGateway, outcome: retry.Unknown,
		code: "outcome_unknown", message: message, retryAfter: time.Second,
	}
}

// unavailable returns the error for a request that was not sent but may succeed
// later.
func unavailable(code, message string, retryAfter time.Duration) *apiError {
	return &apiError{
		status: http.StatusServiceUnavailable, outcome: retry.NotRun,
		code: code, message: message, retryAfter: retryAfter,
	}
}

// refusalError converts an error of Router.Acquire, or of the request's context, into
// an error response.
func refusalError(err error) *apiError {
	var r *router.Refusal
	if errors.As(err, &r) {
		e := unavailable(string(r.Reason), "the request was not run: "+string(r.Reason), r.RetryAfter)
		if r.Reason == sched.QueueFull {
			e.status = http.StatusTooManyRequests
		}
		return e
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return unavailable(string(sched.DeadlinePassed), "the request was not run before its deadline", time.Second)
	}
	return unavailable("cancelled", "the caller left before the request ran", time.Second)
}

// handleError writes an error response, unless a response has already started.
func (s *Server) handleError(err error, c echo.Context) {
	var e *apiError
	if !errors.As(err, &e) {
		e = echoError(err)
	}
	recordOf(c).outcome = e.outcome
	if c.Response().Committed {
		return
	}
	h := c.Response().Header()
	h.Set(HeaderOutcome, string(e.outcome))
	if e.retryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(e.retryAfter.Seconds()))))
	}
	_ = c.JSON(e.status, e.body())
}

func echoError(err error) *apiError {
	var h *echo.HTTPError
	if errors.As(err, &h) {
		return invalidRequest(h.Code, "http_error", http.StatusText(h.Code))
	}
	return &apiError{status: http.StatusInternalServerError, outcome: retry.Unknown, code: "internal", message: err.Error()}
}
