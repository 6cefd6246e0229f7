package gateway

import (
	"strconv"
	"time"
)

// formatMillis writes the time left, at least 1 ms: 0 could be read as none.
func formatMillis(d time.Duration) string {
	return strconv.FormatInt(max(d.Milliseconds(), 1), 10)
}
