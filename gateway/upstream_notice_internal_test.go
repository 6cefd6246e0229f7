package gateway

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against negative, overflowing or unbounded delays from malformed Retry-After values.
func TestRetryAfterIsBounded(t *testing.T) {
	now := time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)
	for value, want := range map[string]time.Duration{
		"3": 3 * time.Second, " 0.25 ": 250 * time.Millisecond, "0": 0, "-5": 0, "": 0, "soon": 0, "NaN": 0,
		"+Inf": maxRetryAfter, "-Inf": 0, "1e300": maxRetryAfter, "1e400": maxRetryAfter, "-1e400": 0, "99999999999999999999": maxRetryAfter, "0x10": 0,
		"Sun, 01 Mar 2026 12:00:07 GMT": 7 * time.Second, "Sun, 01 Mar 2026 11:00:00 GMT": 0, "Sun, 01 Mar 2099 12:00:00 GMT": maxRetryAfter,
	} {
		NewWithT(t).Expect(parseRetryAfter(value, now)).To(Equal(want), value)
	}
}
