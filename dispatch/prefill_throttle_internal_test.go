package dispatch

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// stream is an answer that has begun, of so many tokens, due after a time and worth so
// much.
func stream(output int, due time.Duration, worth float64) *job {
	return &job{Request: Request{Output: output}, deadlineAt: due, chargedTokens: worth}
}

const token = 6 * time.Millisecond

// Twenty long answers run at an engine that is kept full of prompts; at a token every
// 80 ms none would end. They are worth more than what is read meanwhile, so the engine
// rests for the part of its time that they need. One answer of little worth is not
// worth the callers that would wait for it.
func TestEngineRestsForAnswersThatAreWorthIt(t *testing.T) {
	g := NewWithT(t)
	const yieldPerMs = 80
	var many, one prefillThrottle
	for range 20 {
		many.addStream(stream(400, 15*time.Second, 12000), 0)
	}
	many.review(time.Second, token, yieldPerMs)
	g.Expect(many.pauseFraction).To(BeNumerically("~", 400*6.0/14000, 0.001))
	many.addStream(stream(400, 15*time.Second, 12000), 100*time.Millisecond)
	g.Expect(many.pauseLeft).To(BeNumerically("~", 20*time.Millisecond, 2*time.Millisecond))

	one.addStream(stream(400, 15*time.Second, 1500), 0)
	one.review(time.Second, token, yieldPerMs)
	g.Expect(one.pauseFraction).To(BeZero())
}

// An answer that can't end in time whatever the engine does keeps no caller waiting.
func TestLostAnswerKeepsNobodyWaiting(t *testing.T) {
	g := NewWithT(t)
	var p prefillThrottle
	p.addStream(stream(1000, 3*time.Second, 1e6), 0)
	p.review(time.Second, token, 80)
	g.Expect(p.pauseFraction).To(BeZero())
}

// The engine rests while it reads nothing, and the rest ends.
func TestRestEnds(t *testing.T) {
	g := NewWithT(t)
	p := prefillThrottle{pauseFraction: 0.2}
	p.addStream(stream(10, time.Second, 1), 80*time.Millisecond)
	g.Expect(p.pauseLeft).To(Equal(20 * time.Millisecond))
	p.advance(15*time.Millisecond, token, true)
	g.Expect(p.pauseLeft).To(Equal(20 * time.Millisecond))
	p.advance(15*time.Millisecond, token, false)
	g.Expect(p.pauseLeft).To(Equal(5 * time.Millisecond))
	p.advance(time.Second, token, false)
	g.Expect(p.pauseLeft).To(BeZero())
}

// Whatever runs, reading goes on for half of the time at least, or the callers of new
// requests would wait for answers that others wait for.
func TestDutyIsBounded(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var p prefillThrottle
		for range rapid.IntRange(0, 40).Draw(rt, "streams") {
			p.addStream(stream(rapid.IntRange(0, 5000).Draw(rt, "output"),
				time.Duration(rapid.IntRange(0, 20000).Draw(rt, "due"))*time.Millisecond,
				rapid.Float64Range(0, 1e7).Draw(rt, "worth")), 0)
		}
		p.review(time.Duration(rapid.IntRange(100, 15000).Draw(rt, "now"))*time.Millisecond, token, rapid.Float64Range(0, 500).Draw(rt, "yield"))
		if p.pauseFraction < 0 || p.pauseFraction > maxPauseFraction {
			rt.Fatal(p.pauseFraction)
		}
	})
}
