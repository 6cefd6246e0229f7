package limits_test

import (
	"math"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/aspenswitch/aspenswitch/limits"
)

// allowanceFactor is the ratio of the rate that homes allow routers to request for a team to the
// rate at which the team is served.
const allowanceFactor = 2

func newArrival(team string) limits.Arrival {
	return limits.Arrival{Share: limits.ShareKey{Service: "llm", Team: team}, Tokens: 1, Streaming: true}
}

// flood simulates requests at a constant rate, and a home that admits share of them per second.
// It returns how many the home admitted and how many were sent to it.
func flood(s *limits.Shedder, from time.Duration, requestsPerSecond, share int, length time.Duration) (admitted, requested int) {
	credit := 0.0
	interval := time.Second / time.Duration(requestsPerSecond)
	for now := from; now < from+length; now += interval {
		credit += float64(share) * interval.Seconds()
		if s.Check(now, newArrival("flood")).Reason != limits.NotShed {
			continue
		}
		requested++
		retryAfter := time.Second
		if credit >= 1 {
			credit--
			admitted++
			retryAfter = 0
		}
		s.UpdateRate(now, newArrival("flood").Share, float64(allowanceFactor*share), retryAfter)
	}
	return admitted, requested
}

// Guards against requesting admission for all requests of a flood.
func TestFloodIsRefusedWithoutAsking(t *testing.T) {
	g := NewWithT(t)
	s := limits.NewShedder(limits.DefaultShedConfig())
	admitted, requested := flood(s, time.Second, 2000, 100, 10*time.Second)
	g.Expect(admitted).To(BeNumerically(">", 930))
	g.Expect(requested).To(BeNumerically("<", 2500))
}

// Guards against limiting a team to its previous share after the share has grown.
func TestAllowanceFollowsAGrowingShare(t *testing.T) {
	g := NewWithT(t)
	s := limits.NewShedder(limits.DefaultShedConfig())
	flood(s, time.Second, 2000, 100, 5*time.Second)
	flood(s, 6*time.Second, 2000, 1000, 4*time.Second)
	admitted, _ := flood(s, 10*time.Second, 2000, 1000, time.Second)
	g.Expect(admitted).To(BeNumerically(">", 850))
}

// Guards against shedding requests of a team without a limit while another team floods.
func TestTeamWithinItsShareIsNeverHeldBack(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := limits.NewShedder(limits.DefaultShedConfig())
		now := time.Second
		for range rapid.IntRange(1, 300).Draw(rt, "requests") {
			now += time.Duration(rapid.IntRange(0, 20).Draw(rt, "ms")) * time.Millisecond
			if rapid.Bool().Draw(rt, "flood") {
				if s.Check(now, newArrival("flood")).Reason == limits.NotShed {
					s.UpdateRate(now, newArrival("flood").Share, 1, time.Second)
				}
				continue
			}
			if s.Check(now, newArrival("small")).Reason != limits.NotShed {
				rt.Fatal("a request of a team without a limit was shed")
			}
			s.UpdateRate(now, newArrival("small").Share, math.Inf(1), 0)
		}
	})
}

// Guards against applying the rate of one home to requests for another.
func TestEachHomeLimitsATeamSeparately(t *testing.T) {
	g := NewWithT(t)
	s := limits.NewShedder(limits.DefaultShedConfig())
	first, second := newArrival("flood"), newArrival("flood")
	second.Share.Group = 1
	s.UpdateRate(time.Second, first.Share, 1, time.Second)
	g.Expect(s.Check(time.Second, first).Reason).To(Equal(limits.NotShed))
	g.Expect(s.Check(time.Second, first).Reason).To(Equal(limits.OverShare))
	for range 100 {
		g.Expect(s.Check(time.Second, second).Reason).To(Equal(limits.NotShed))
	}
	s.UpdateRate(time.Second, first.Share, math.Inf(1), 0)
	g.Expect(s.Check(time.Second, first).Reason).To(Equal(limits.NotShed), "the limit was removed")
}

// Guards against requesting more or less than a team's allowance over any period.
func TestAllowanceIsKeptOverAnySpan(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := limits.NewShedder(limits.DefaultShedConfig())
		rate := float64(rapid.IntRange(100, 100000).Draw(rt, "rate"))
		largest := rate / 2
		now, requested, length := time.Second, 0.0, 6*time.Second
		s.UpdateRate(now, newArrival("flood").Share, rate, 0)
		for now < time.Second+length {
			a := newArrival("flood")
			a.Tokens = max(1, largest*rapid.Float64Range(0, 1).Draw(rt, "size"))
			if s.Check(now, a).Reason == limits.NotShed {
				requested += a.Tokens
				s.UpdateRate(now, a.Share, rate, 0)
			}
			now += time.Duration(rapid.IntRange(1, 20).Draw(rt, "ms")) * time.Millisecond
		}
		allowed := rate * length.Seconds()
		if requested > allowed+rate+largest {
			rt.Fatalf("requested %.0f tokens, allowed %.0f", requested, allowed)
		}
		if requested < 0.9*allowed-largest {
			rt.Fatalf("requested only %.0f of %.0f allowed tokens", requested, allowed)
		}
	})
}

// Guards against limiting a team for seconds to a rate that its home allowed only briefly.
func TestOldAllowanceIsAskedForAnew(t *testing.T) {
	g := NewWithT(t)
	s := limits.NewShedder(limits.DefaultShedConfig())
	a := newArrival("flood")
	a.Tokens = 10000
	const allowed, minRequests = 100, 8
	s.UpdateRate(time.Second, a.Share, allowed, 0)
	requested := 0
	for now := time.Second; now < 6*time.Second; now += time.Millisecond {
		if s.Check(now, a).Reason == limits.NotShed {
			requested++
		}
	}
	g.Expect(requested).To(BeNumerically(">=", minRequests), "one request uses the allowance of 100 s")
	g.Expect(requested).To(BeNumerically("<=", 2*minRequests))

	s.UpdateRate(6*time.Second, a.Share, 1000*allowed*allowed, 0)
	g.Expect(s.Check(6*time.Second+100*time.Millisecond, a).Reason).To(Equal(limits.NotShed), "requests for a new rate use no tokens")
}

// Guards against a heavy team without a limit that delays other teams at an overloaded router.
func TestHeavyTeamIsRefusedWhileTheRouterIsBehind(t *testing.T) {
	g := NewWithT(t)
	s := limits.NewShedder(limits.DefaultShedConfig())
	now := time.Second
	check := func(team string, lag time.Duration) limits.ShedReason {
		a := newArrival(team)
		a.Lag = lag
		return s.Check(now, a).Reason
	}
	for i := range 1000 {
		now += time.Millisecond
		team := "flood"
		if i%10 == 0 {
			team = "small" + string(rune('a'+i/10%5))
		}
		check(team, 0)
	}
	lagThreshold := limits.DefaultShedConfig().LagThreshold
	g.Expect(check("flood", lagThreshold)).To(Equal(limits.Overloaded))
	g.Expect(check("smalla", lagThreshold)).To(Equal(limits.NotShed))
	g.Expect(check("flood", 0)).To(Equal(limits.NotShed))
	now += 10 * time.Second
	check("smallb", lagThreshold)
	g.Expect(check("flood", lagThreshold)).To(Equal(limits.Overloaded), "half of the recent requests")
}

// Guards against an overloaded router that sheds all requests of a heavy team.
func TestHeavyTeamIsAskedForWhileTheRouterIsBehind(t *testing.T) {
	const perSecond, seconds = 1000, 5
	requested := func(lag time.Duration) int {
		s := limits.NewShedder(limits.DefaultShedConfig())
		n := 0
		for now := time.Second; now < (1+seconds)*time.Second; now += time.Second / perSecond {
			a := newArrival("flood")
			a.Lag = lag
			if s.Check(now, a).Reason == limits.NotShed {
				n++
			}
		}
		return n / seconds
	}
	g := NewWithT(t)
	lagThreshold := limits.DefaultShedConfig().LagThreshold
	g.Expect(requested(lagThreshold - time.Millisecond)).To(Equal(perSecond))
	g.Expect(requested(lagThreshold)).To(BeNumerically("~", perSecond/4, perSecond/50))
	g.Expect(requested(2 * lagThreshold)).To(BeNumerically("~", perSecond/16, perSecond/50))
	g.Expect(requested(limits.DefaultShedConfig().MaxStreamLag + time.Millisecond)).To(BeZero())
}

// Guards against an overloaded router that requests more or less than a team's share.
func TestRouterThatIsBehindAsksForTheShare(t *testing.T) {
	g := NewWithT(t)
	const allowed, seconds = 200, 10
	requested := func(lag time.Duration) int {
		s := limits.NewShedder(limits.DefaultShedConfig())
		s.UpdateRate(time.Second, newArrival("flood").Share, allowed, 0)
		n := 0
		for now := time.Second; now < (1+seconds)*time.Second; now += time.Millisecond {
			a := newArrival("flood")
			a.Lag = lag
			if s.Check(now, a).Reason == limits.NotShed {
				n++
				s.UpdateRate(now, a.Share, allowed, 0)
			}
		}
		return n
	}
	lag := limits.DefaultShedConfig().LagThreshold
	g.Expect(requested(0)).To(BeNumerically("~", allowed*seconds, allowed))
	g.Expect(requested(lag)).To(BeNumerically("~", allowed/allowanceFactor*seconds, allowed/allowanceFactor))
}
