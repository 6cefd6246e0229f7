package gateway_test

import (
	"io"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/aspenswitch/aspenswitch/dispatch"
)

// hang reads the request and never responds.
func hang(*http.Request, io.Writer) bool {
	time.Sleep(hangDuration)
	return false
}

const hangDuration = 3 * time.Second

// Guards against excluding a healthy upstream. The reported outcome decides whether it is used
// further, and neither an expired short deadline nor a broken connection shows that it has left.
// Without that distinction, two requests per second with short deadlines keep it out of use.
func TestOutcomesReportedToThePlacer(t *testing.T) {
	for name, c := range map[string]struct {
		script script
		want   dispatch.Outcome
	}{
		"no answer until the deadline": {hang, dispatch.TimedOut},
		"closes the connection":        {closeConn, dispatch.Failed},
		"has no room":                  {status(503, "X-Not-Run: 1\r\n"), dispatch.Rejected},
		"fails":                        {status(500, "X-Seal: s\r\n"), dispatch.Failed},
		"answers":                      {ok("answer"), dispatch.Served},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			r := newHarness(t, map[string]script{"u1": c.script})
			_, _, err := r.call("/unsafe/", func(req *http.Request) { req.Header.Set("X-Left", "200") })
			g.Expect(err).NotTo(HaveOccurred())
			g.Eventually(r.placer.reportedOutcomes, hangDuration, time.Millisecond).Should(Equal([]dispatch.Outcome{c.want}))
		})
	}
}
