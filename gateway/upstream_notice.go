package gateway

import (
	"errors"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/aspenswitch/aspenswitch/upstream"
)

// upstreamNotice is the availability that an upstream reports in the headers of a response.
type upstreamNotice struct {
	// leaving is set if the upstream is shutting down and accepts no new requests.
	leaving bool
	// retryAfter is the delay requested by the Retry-After header of a 503, or 0 if none.
	retryAfter time.Duration
}

// maxRetryAfter caps the delay accepted from a Retry-After header.
const maxRetryAfter = 5 * time.Minute

// parseUpstreamNotice parses the Leaving and Retry-After headers of a response.
func (s *Server) parseUpstreamNotice(a *upstream.Response) upstreamNotice {
	n := upstreamNotice{leaving: a.Header.Get(s.cfg.Headers.Leaving) == leavingValue}
	if a.Status == http.StatusServiceUnavailable {
		n.retryAfter = parseRetryAfter(a.Header.Get("Retry-After"), time.Now())
	}
	return n
}

// leavingValue is the value of the Leaving header when the upstream is shutting down.
const leavingValue = "1"

// parseRetryAfter parses a Retry-After value given as integer or fractional seconds, or as
// an HTTP date. It returns 0 for invalid or negative values and past dates, and at most
// maxRetryAfter.
func parseRetryAfter(value string, now time.Time) time.Duration {
	value = strings.TrimSpace(value)
	seconds, err := strconv.ParseFloat(value, 64)
	if (err == nil || errors.Is(err, strconv.ErrRange)) && !math.IsNaN(seconds) {
		return time.Duration(min(max(seconds, 0), maxRetryAfter.Seconds()) * float64(time.Second))
	}
	date, err := http.ParseTime(value)
	if err != nil {
		return 0
	}
	return min(max(date.Sub(now), 0), maxRetryAfter)
}
