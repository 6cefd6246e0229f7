package gateway

import (
	"strconv"
	"time"
)

// lastEventID is the header with the ID of the last event that the sender has of a stream (HTML
// standard, server-sent events). The response continues after it.
const lastEventID = "Last-Event-Id"

// formatMillis writes the time left, at least 1 ms: 0 could be read as none.
func formatMillis(d time.Duration) string {
	return strconv.FormatInt(max(d.Milliseconds(), 1), 10)
}
