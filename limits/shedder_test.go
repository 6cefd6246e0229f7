package limits_test

import (
	"math"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/aspenswitch/aspenswitch/limits"
)

// askMore is how many times a team's rate homes let routers ask for.
const askMore = 2

func arrival(team string) limits.Arrival {
	return limits.Arrival{Share: limits.ShareKey{Service: "llm", Team: team}, Tokens: 1, Streaming: true}
}

// flood asks so many times a second and lets through what the home's share allows. It
// returns what was let through and what the home was asked.
func flood(s *limits.Shedder, from time.Duration, perSecond, share int, length time.Duration) (sent, asked int) {
	got := 0.0
	gap := time.Second / time.Duration(perSecond)
	for now := from; now < from+length; now += gap {
		got += float64(share) * gap.Seconds()
		if s.Check(now, arrival("flood")).Reason != limits.NotShed {
			continue
		}
		asked++
		after := time.Second
		if got >= 1 {
			got--
			sent++
			after = 0
		}
		s.UpdateRate(now, arrival("flood").Share, float64(askMore*share), after)
	}
	return sent, asked
}

// Guards against a flood that asks homes for all of its requests.
func TestFloodIsRefusedWithoutAsking(t *testing.T) {
	g := NewWithT(t)
	s := limits.NewShedder(limits.DefaultShedConfig())
	sent, asked := flood(s, time.Second, 2000, 100, 10*time.Second)
	g.Expect(sent).To(BeNumerically(">", 930))
	g.Expect(asked).To(BeNumerically("<", 2500))
}

// Guards against a team that is held at what it got before its share grew.
func TestAllowanceFollowsAGrowingShare(t *testing.T) {
	g := NewWithT(t)
	s := limits.NewShedder(limits.DefaultShedConfig())
	flood(s, time.Second, 2000, 100, 5*time.Second)
	flood(s, 6*time.Second, 2000, 1000, 4*time.Second)
	sent, _ := flood(s, 10*time.Second, 2000, 1000, time.Second)
	g.Expect(sent).To(BeNumerically(">", 850))
}

// A team without a bound is never held back, whatever others do.
func TestTeamWithinItsShareIsNeverHeldBack(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := limits.NewShedder(limits.DefaultShedConfig())
		now := time.Second
		for range rapid.IntRange(1, 300).Draw(rt, "requests") {
			now += time.Duration(rapid.IntRange(0, 20).Draw(rt, "ms")) * time.Millisecond
			if rapid.Bool().Draw(rt, "flood") {
				if s.Check(now, arrival("flood")).Reason == limits.NotShed {
					s.UpdateRate(now, arrival("flood").Share, 1, time.Second)
				}
				continue
			}
			if s.Check(now, arrival("small")).Reason != limits.NotShed {
				rt.Fatal("held back")
			}
			s.UpdateRate(now, arrival("small").Share, math.Inf(1), 0)
		}
	})
}

// A team's share at one home says nothing of what another home gives it.
func TestHomesBoundATeamApart(t *testing.T) {
	g := NewWithT(t)
	s := limits.NewShedder(limits.DefaultShedConfig())
	first, second := arrival("flood"), arrival("flood")
	second.Share.Group = 1
	s.UpdateRate(time.Second, first.Share, 1, time.Second)
	g.Expect(s.Check(time.Second, first).Reason).To(Equal(limits.NotShed))
	g.Expect(s.Check(time.Second, first).Reason).To(Equal(limits.OverShare))
	for range 100 {
		g.Expect(s.Check(time.Second, second).Reason).To(Equal(limits.NotShed))
	}
	s.UpdateRate(time.Second, first.Share, math.Inf(1), 0)
	g.Expect(s.Check(time.Second, first).Reason).To(Equal(limits.NotShed), "the bound is gone")
}

// Guards against a team that is asked for at more or less than its allowance over any span.
func TestAllowanceIsKeptOverAnySpan(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := limits.NewShedder(limits.DefaultShedConfig())
		rate := float64(rapid.IntRange(100, 100000).Draw(rt, "rate"))
		largest := rate / 2
		now, asked, length := time.Second, 0.0, 6*time.Second
		s.UpdateRate(now, arrival("flood").Share, rate, 0)
		for now < time.Second+length {
			a := arrival("flood")
			a.Tokens = max(1, largest*rapid.Float64Range(0, 1).Draw(rt, "size"))
			if s.Check(now, a).Reason == limits.NotShed {
				asked += a.Tokens
				s.UpdateRate(now, a.Share, rate, 0)
			}
			now += time.Duration(rapid.IntRange(1, 20).Draw(rt, "ms")) * time.Millisecond
		}
		owed := rate * length.Seconds()
		if asked > owed+rate+largest {
			rt.Fatalf("asked for %.0f of %.0f", asked, owed)
		}
		if asked < 0.9*owed-largest {
			rt.Fatalf("asked for no more than %.0f of %.0f", asked, owed)
		}
	})
}

// Guards against a team that is held for seconds to what its home allowed for a moment.
func TestOldAllowanceIsAskedForAnew(t *testing.T) {
	g := NewWithT(t)
	s := limits.NewShedder(limits.DefaultShedConfig())
	a := arrival("flood")
	a.Tokens = 10000
	const allowed, least = 100, 8
	s.UpdateRate(time.Second, a.Share, allowed, 0)
	asked := 0
	for now := time.Second; now < 6*time.Second; now += time.Millisecond {
		if s.Check(now, a).Reason == limits.NotShed {
			asked++
		}
	}
	g.Expect(asked).To(BeNumerically(">=", least), "one question uses up what is allowed for 100 s")
	g.Expect(asked).To(BeNumerically("<=", 2*least))

	s.UpdateRate(6*time.Second, a.Share, 1000*allowed*allowed, 0)
	g.Expect(s.Check(6*time.Second+100*time.Millisecond, a).Reason).To(Equal(limits.NotShed), "questions for a new word cost nothing")
}

// Guards against a team without a bound that holds up others at a late router.
func TestHeavyTeamIsRefusedWhileTheRouterIsBehind(t *testing.T) {
	g := NewWithT(t)
	s := limits.NewShedder(limits.DefaultShedConfig())
	now := time.Second
	at := func(team string, lag time.Duration) limits.ShedReason {
		a := arrival(team)
		a.Lag = lag
		return s.Check(now, a).Reason
	}
	for i := range 1000 {
		now += time.Millisecond
		team := "flood"
		if i%10 == 0 {
			team = "small" + string(rune('a'+i/10%5))
		}
		at(team, 0)
	}
	behind := limits.DefaultShedConfig().LagThreshold
	g.Expect(at("flood", behind)).To(Equal(limits.Busy))
	g.Expect(at("smalla", behind)).To(Equal(limits.NotShed))
	g.Expect(at("flood", 0)).To(Equal(limits.NotShed))
	now += 10 * time.Second
	at("smallb", behind)
	g.Expect(at("flood", behind)).To(Equal(limits.Busy), "half of what came of late")
}

// Guards against a router that gives up a whole team because it is late.
func TestHeavyTeamIsAskedForWhileTheRouterIsBehind(t *testing.T) {
	const perSecond, seconds = 1000, 5
	asked := func(lag time.Duration) int {
		s := limits.NewShedder(limits.DefaultShedConfig())
		n := 0
		for now := time.Second; now < (1+seconds)*time.Second; now += time.Second / perSecond {
			a := arrival("flood")
			a.Lag = lag
			if s.Check(now, a).Reason == limits.NotShed {
				n++
			}
		}
		return n / seconds
	}
	g := NewWithT(t)
	behind := limits.DefaultShedConfig().LagThreshold
	g.Expect(asked(behind - time.Millisecond)).To(Equal(perSecond))
	g.Expect(asked(behind)).To(BeNumerically("~", perSecond/4, perSecond/50))
	g.Expect(asked(2 * behind)).To(BeNumerically("~", perSecond/16, perSecond/50))
	g.Expect(asked(limits.DefaultShedConfig().MaxStreamLag + time.Millisecond)).To(BeZero())
}

// Guards against a late router that asks for more, or less, than a team's share.
func TestRouterThatIsBehindAsksForTheShare(t *testing.T) {
	g := NewWithT(t)
	const allowed, seconds = 200, 10
	asked := func(lag time.Duration) int {
		s := limits.NewShedder(limits.DefaultShedConfig())
		s.UpdateRate(time.Second, arrival("flood").Share, allowed, 0)
		n := 0
		for now := time.Second; now < (1+seconds)*time.Second; now += time.Millisecond {
			a := arrival("flood")
			a.Lag = lag
			if s.Check(now, a).Reason == limits.NotShed {
				n++
				s.UpdateRate(now, a.Share, allowed, 0)
			}
		}
		return n
	}
	lag := limits.DefaultShedConfig().LagThreshold
	g.Expect(asked(0)).To(BeNumerically("~", allowed*seconds, allowed))
	g.Expect(asked(lag)).To(BeNumerically("~", allowed/askMore*seconds, allowed/askMore))
}
