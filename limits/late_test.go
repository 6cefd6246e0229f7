package limits_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/aspenswitch/aspenswitch/limits"
)

// answer is a home's, on its way to a router.
type answer struct {
	at   time.Duration
	sent bool
}

// lateHome answers a router's questions after a while, and lets a team have its share.
type lateHome struct {
	perSecond float64
	// burst is what the team may have at once: the home looks at what it got within the
	// last second, and lets it in at 0.8 to 1.2 of its share.
	burst float64
	// credit is what the team may have at once, as of at.
	credit float64
	at     time.Duration
	onWay  []answer
}

func (h *lateHome) ask(now, delay time.Duration) {
	h.credit = min(h.credit+h.perSecond*(now-h.at).Seconds(), h.burst)
	h.at = now
	sent := h.credit >= 1
	if sent {
		h.credit--
	}
	h.onWay = append(h.onWay, answer{at: now + delay, sent: sent})
}

// come hands over the answers that have come, in order.
func (h *lateHome) come(now time.Duration, take func(sent bool)) {
	for len(h.onWay) > 0 && h.onWay[0].at <= now {
		take(h.onWay[0].sent)
		h.onWay = h.onWay[1:]
	}
}

// All callers of a team meet one router, which is at the end of its processor: for a
// tenth of a second it doesn't read what homes answer. Callers of that team are then all
// refused for a second and more, though its share would let a hundred in.
// Some hundred questions were on their way before the first refusal was noted, and the
// throttle weighs all of these refusals against what it let through before (a router
// under 3,700 requests a second asked nothing for 1.07 s; lines team and share).
func TestLateAnswersDoNotKeepATeamFromItsShare(t *testing.T) {
	g := NewWithT(t)
	const (
		share     = 100
		perSecond = 3000
		gap       = time.Second / perSecond
		lateFrom  = 3 * time.Second
		late      = 120 * time.Millisecond
		length    = 8 * time.Second
	)
	s := limits.NewShedder(limits.DefaultShedConfig())
	h := &lateHome{perSecond: share, burst: 0.4 * share}
	sent := make([]int, int(length/time.Second)+1)
	for now := time.Duration(0); now < length; now += gap {
		h.come(now, func(ok bool) {
			after := 100 * time.Millisecond
			if ok {
				sent[now/time.Second]++
				after = 0
			}
			s.UpdateRate(now, arrival("flood").Share, askMore*share, after)
		})
		if s.Check(now, arrival("flood")).Reason != limits.NotShed {
			continue
		}
		delay := time.Millisecond
		if now >= lateFrom && now < lateFrom+late {
			delay = lateFrom + late - now
		}
		h.ask(now, delay)
	}
	for second := 1; second < len(sent)-1; second++ {
		g.Expect(sent[second]).To(BeNumerically(">=", share/2), "second %d of %v", second, sent)
	}
}
