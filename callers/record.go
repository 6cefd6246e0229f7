package callers

import (
	"time"

	"github.com/labstack/echo/v4"

	"github.com/aspenswitch/aspenswitch/retry"
)

const recordContextKey = "record"

// requestRecord holds what is logged about a request.
type requestRecord struct {
	id       string
	team     string
	upstream string
	attempts int
	outcome  retry.Outcome
	started  time.Time
	slotWait time.Duration
	// errorEventSent is set if an incomplete response was ended with an error event.
	// Otherwise the connection is aborted, so that the caller can detect it.
	errorEventSent bool
}

func recordOf(c echo.Context) *requestRecord { return c.Get(recordContextKey).(*requestRecord) }
