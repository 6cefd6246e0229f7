package warmup_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/aspenswitch/aspenswitch/warmup"
)

// probedHome is a home that sends as many requests as its probes allow.
type probedHome struct {
	probing warmup.Probing
	// answersAt is when the probe in progress is answered, readAt when its answer is read.
	answersAt, readAt time.Duration
	warm, knowsCold   bool
}

// step advances the home to now and returns whether it sends a request, if it has one.
func (h *probedHome) step(now, coldAt time.Duration, hasRequest bool, roundTrip time.Duration) bool {
	if h.answersAt > 0 && now >= h.answersAt {
		h.warm, h.answersAt = now < coldAt, 0
	}
	if h.readAt > 0 && now >= h.readAt {
		h.readAt = 0
		if h.warm {
			h.probing.Answered()
		} else {
			h.knowsCold = true
		}
	}
	if h.knowsCold || !hasRequest || !h.probing.Available() {
		return false
	}
	h.probing.Count()
	if h.probing.Due() {
		h.probing.Sent()
		h.answersAt, h.readAt = now+roundTrip/2, now+roundTrip
	}
	return true
}

// Guards against exceeding the bound before two homes learn by probes that an upstream has turned
// cold, however many requests they have and however late the probes are answered.
func TestProbedUpstreamThatTurnsColdGetsNoMoreThanItsBound(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		limit := warmup.Limit{Duration: 5 * time.Second, PerSecond: rapid.Float64Range(2, 100).Draw(rt, "rate")}
		policy := warmup.Policy{Overage: rapid.Float64Range(1, 3).Draw(rt, "overage"), Slack: rapid.Float64Range(0, 20).Draw(rt, "slack")}
		coldAt := time.Duration(rapid.Int64Range(int64(time.Millisecond), int64(2*time.Second)).Draw(rt, "cold at"))
		homes := make([]probedHome, 2)
		for i := range homes {
			homes[i].probing.Limit = policy.RequestsPerProbe(limit)
		}
		load := rapid.IntRange(1, 100).Draw(rt, "load")
		roundTrip := time.Duration(rapid.Int64Range(int64(time.Millisecond), int64(300*time.Millisecond)).Draw(rt, "round trip"))
		afterCold := 0
		for now := time.Millisecond; now < 4*time.Second; now += time.Millisecond {
			for i := range homes {
				hasRequest := rapid.IntRange(1, 100).Draw(rt, "request") <= load
				if homes[i].step(now, coldAt, hasRequest, roundTrip) && now >= coldAt {
					afterCold++
				}
			}
		}
		if afterCold > policy.Bound(limit) {
			rt.Fatalf("%d requests after the upstream turned cold, bound %d", afterCold, policy.Bound(limit))
		}
	})
}

// Guards against an upstream that is never used while it must be probed, because half of its bound
// is less than one request.
func TestUpstreamWithASmallBoundIsUsedBetweenProbes(t *testing.T) {
	g := NewWithT(t)
	g.Expect(warmup.DefaultPolicy().RequestsPerProbe(warmup.Limit{Duration: time.Second, PerSecond: 1})).To(Equal(1))
}

// Guards against an upstream that is no longer used after a probe without an answer.
func TestFailedProbeIsRepeated(t *testing.T) {
	g := NewWithT(t)
	p := warmup.Probing{Limit: 2}
	p.Count()
	g.Expect(p.Due()).To(BeTrue())
	p.Sent()
	g.Expect(p.Due()).To(BeFalse())
	p.Failed()
	g.Expect(p.Due()).To(BeTrue())
	p.Sent()
	p.Answered()
	g.Expect(p.Due()).To(BeFalse())
}

// Guards against counting requests as answered for that were sent after the probe.
func TestRequestsSentDuringAProbeCountAfterIt(t *testing.T) {
	g := NewWithT(t)
	p := warmup.Probing{Limit: 4}
	for range 2 {
		p.Count()
	}
	p.Sent()
	for range 2 {
		p.Count()
	}
	g.Expect(p.Available()).To(BeFalse())
	p.Answered()
	for range 2 {
		g.Expect(p.Available()).To(BeTrue())
		p.Count()
	}
	g.Expect(p.Available()).To(BeFalse())
}
