package limits_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/aspenswitch/aspenswitch/limits"
)

// response is a home's response that arrives at the router at a given time.
type response struct {
	at       time.Duration
	admitted bool
}

// slowHome responds to a router's admission requests after a delay, and admits a team at the rate
// of its share.
type slowHome struct {
	perSecond float64
	// burst is the most requests that are admitted at once: homes count what a team was served
	// within the last second, and admit it at 0.8 to 1.2 times its share.
	burst float64
	// credit is the number of requests that could be admitted at the time at.
	credit   float64
	at       time.Duration
	inFlight []response
}

func (h *slowHome) request(now, delay time.Duration) {
	h.credit = min(h.credit+h.perSecond*(now-h.at).Seconds(), h.burst)
	h.at = now
	admitted := h.credit >= 1
	if admitted {
		h.credit--
	}
	h.inFlight = append(h.inFlight, response{at: now + delay, admitted: admitted})
}

// deliver passes the responses that have arrived to handle, in order.
func (h *slowHome) deliver(now time.Duration, handle func(admitted bool)) {
	for len(h.inFlight) > 0 && h.inFlight[0].at <= now {
		handle(h.inFlight[0].admitted)
		h.inFlight = h.inFlight[1:]
	}
}

// Guards against refusing a whole team, whose callers all use one router, for over 1 s despite its share
// of 100 requests/s. A router with a saturated CPU reads no responses of homes for 0.1 s, and hundreds of
// requests are in flight before the first recorded refusal. At 3,700 requests/s, a throttle that weighed
// all these refusals against earlier admissions sent nothing for 1.07 s (log lines "team" and "share").
func TestLateAnswersDoNotKeepATeamFromItsShare(t *testing.T) {
	g := NewWithT(t)
	const (
		sharePerSecond    = 100
		requestsPerSecond = 3000
		interval          = time.Second / requestsPerSecond
		stallStart        = 3 * time.Second
		stallDuration     = 120 * time.Millisecond
		duration          = 8 * time.Second
	)
	s := limits.NewShedder(limits.DefaultShedConfig())
	h := &slowHome{perSecond: sharePerSecond, burst: 0.4 * sharePerSecond}
	admitted := make([]int, int(duration/time.Second)+1)
	for now := time.Duration(0); now < duration; now += interval {
		h.deliver(now, func(ok bool) {
			retryAfter := 100 * time.Millisecond
			if ok {
				admitted[now/time.Second]++
				retryAfter = 0
			}
			s.UpdateRate(now, newArrival("flood").Share, allowanceFactor*sharePerSecond, retryAfter)
		})
		if s.Check(now, newArrival("flood")).Reason != limits.NotShed {
			continue
		}
		delay := time.Millisecond
		if now >= stallStart && now < stallStart+stallDuration {
			delay = stallStart + stallDuration - now
		}
		h.request(now, delay)
	}
	for second := 1; second < len(admitted)-1; second++ {
		g.Expect(admitted[second]).To(BeNumerically(">=", sharePerSecond/2), "second %d of %v", second, admitted)
	}
}
