package limits_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/aspenswitch/aspenswitch/limits"
)

// flood asks a throttle so many times a second and lets through what the home's
// share allows. It returns what was let through and what the home was asked.
func flood(t *limits.Throttle, from time.Duration, perSecond, share int, length time.Duration) (sent, asked int) {
	got := 0.0
	gap := time.Second / time.Duration(perSecond)
	for now := from; now < from+length; now += gap {
		got += float64(share) * gap.Seconds()
		if ok, _ := t.Arrived(now, "flood"); !ok {
			continue
		}
		asked++
		if got >= 1 {
			got--
			sent++
			t.Sent(now, "flood")
		} else {
			t.Refused(now, "flood", time.Second)
		}
	}
	return sent, asked
}

// A team sends 2,000 requests a second to one small router, of which its share
// allows a hundred. Asking the home for each takes the router's whole processor, and
// what it serves comes late. It asks for little more than twice the share, and the
// team still gets all of it.
func TestFloodIsRefusedWithoutAsking(t *testing.T) {
	g := NewWithT(t)
	th := limits.NewThrottle(limits.DefaultThrottleConfig())
	sent, asked := flood(th, time.Second, 2000, 100, 10*time.Second)
	g.Expect(sent).To(BeNumerically(">", 930))
	g.Expect(asked).To(BeNumerically("<", 2500))
}

// The other teams go home: the share grows tenfold. The throttle must not hold the
// team at what it got before.
func TestThrottleFollowsAGrowingShare(t *testing.T) {
	g := NewWithT(t)
	th := limits.NewThrottle(limits.DefaultThrottleConfig())
	flood(th, time.Second, 2000, 100, 5*time.Second)
	flood(th, 6*time.Second, 2000, 1000, 4*time.Second)
	sent, _ := flood(th, 10*time.Second, 2000, 1000, time.Second)
	g.Expect(sent).To(BeNumerically(">", 850))
}

// A team whose requests are all let through is never held back, whatever others do.
func TestTeamWithinItsShareIsNeverHeldBack(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		th := limits.NewThrottle(limits.DefaultThrottleConfig())
		now := time.Second
		for range rapid.IntRange(1, 300).Draw(rt, "requests") {
			now += time.Duration(rapid.IntRange(0, 20).Draw(rt, "ms")) * time.Millisecond
			if rapid.Bool().Draw(rt, "flood") {
				if ok, _ := th.Arrived(now, "flood"); ok {
					th.Refused(now, "flood", time.Second)
				}
				continue
			}
			ok, _ := th.Arrived(now, "small")
			if !ok {
				rt.Fatal("held back")
			}
			th.Sent(now, "small")
		}
	})
}

// Ninety of a hundred requests at a router are one team's: when the router is
// behind, that team's are refused and the others' served.
func TestHeavyTeamIsFound(t *testing.T) {
	g := NewWithT(t)
	th := limits.NewThrottle(limits.DefaultThrottleConfig())
	now := time.Second
	for i := range 1000 {
		now += time.Millisecond
		team := "flood"
		if i%10 == 0 {
			team = "small" + string(rune('a'+i/10%5))
		}
		th.Arrived(now, team)
	}
	g.Expect(th.Heavy(now, "flood")).To(BeTrue())
	g.Expect(th.Heavy(now, "smalla")).To(BeFalse())
	g.Expect(th.Heavy(now+10*time.Second, "smalla")).To(BeFalse())
}
