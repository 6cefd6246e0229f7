package callers

import (
	"time"

	"github.com/labstack/echo/v4"

	"github.com/aspenswitch/aspenswitch/retry"
)

const recordKey = "record"

// record is what the log line of a request tells.
type record struct {
	id       string
	team     string
	upstream string
	attempts int
	outcome  retry.Outcome
	started  time.Time
	wait     time.Duration
	// ended is set when an answer that is not whole was ended with an error
	// event; without it the connection is cut, so that the caller can tell.
	ended bool
}

func recordOf(c echo.Context) *record { return c.Get(recordKey).(*record) }
