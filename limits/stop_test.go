package limits_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/aspenswitch/aspenswitch/limits"
)

// Guards against requests that begin too late to end before a router stops, and against refusing those that
// end in time.
func TestBeginWithin(t *testing.T) {
	const s = time.Second
	for name, c := range map[string]struct {
		untilAbort, untilDeadline, runTime time.Duration
		known                              bool
		want                               time.Duration
	}{
		"time to spare":                     {7 * s, 15 * s, 2 * s, true, 5 * s},
		"just in time":                      {2 * s, 15 * s, 2 * s, true, 0},
		"too late":                          {1 * s, 15 * s, 2 * s, true, -1 * s},
		"never seen":                        {7 * s, 15 * s, 0, false, 0},
		"ends by its deadline":              {7 * s, 6 * s, 20 * s, true, 6 * s},
		"never seen, ends by its deadline":  {7 * s, 7 * s, 0, false, 7 * s},
		"past the deadline":                 {7 * s, -1 * s, 1 * s, true, -1 * s},
		"longer than the grace altogether":  {7 * s, 60 * s, 30 * s, true, -23 * s},
		"after the abort, a short deadline": {-1 * s, 1 * s, 0, true, -1 * s},
	} {
		t.Run(name, func(t *testing.T) {
			NewWithT(t).Expect(limits.BeginWithin(c.untilAbort, c.untilDeadline, c.runTime, c.known)).To(Equal(c.want))
		})
	}
}
