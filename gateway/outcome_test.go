package gateway_test

import (
	"io"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/aspenswitch/aspenswitch/dispatch"
)

// hang reads the request and never answers.
func hang(*http.Request, io.Writer) bool {
	time.Sleep(patience)
	return false
}

const patience = 3 * time.Second

// What placing is told decides whether an upstream is used on. A request whose
// short time ran out, and a connection that broke, don't show that the upstream is
// gone; without that difference two short requests a second keep a sound upstream
// out of use.
func TestWhatPlacingLearnsOfAnUpstream(t *testing.T) {
	for name, c := range map[string]struct {
		script script
		want   dispatch.Outcome
	}{
		"no answer until the deadline": {hang, dispatch.TimedOut},
		"breaks off after the request": {drop, dispatch.Failed},
		"has no room":                  {status(503, "X-Not-Run: 1\r\n"), dispatch.Rejected},
		"fails":                        {status(500, "X-Seal: s\r\n"), dispatch.Failed},
		"answers":                      {ok("answer"), dispatch.Served},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			r := newRig(t, map[string]script{"u1": c.script})
			_, _, err := r.call("/unsafe/", func(req *http.Request) { req.Header.Set("X-Left", "200") })
			g.Expect(err).NotTo(HaveOccurred())
			g.Eventually(r.placer.seen, patience, time.Millisecond).Should(Equal([]dispatch.Outcome{c.want}))
		})
	}
}
