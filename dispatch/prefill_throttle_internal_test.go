package dispatch

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// stream returns a running answer with a length, a deadline and a charge in tokens.
func stream(output int, deadline time.Duration, charged float64) *job {
	return &job{Request: Request{Output: output}, deadlineAt: deadline, chargedTokens: charged}
}

const decodeStep = 6 * time.Millisecond

// Guards against long answers that miss their deadlines at an engine kept full of prompts:
// at 80 ms per token none of twenty would end. They are worth more than the prefill, so
// prefill pauses for the time they need. A single answer of low value causes no pause.
func TestPrefillPausesForValuableStreams(t *testing.T) {
	g := NewWithT(t)
	const yieldPerMs = 80
	var many, one prefillThrottle
	for range 20 {
		many.addStream(stream(400, 15*time.Second, 12000), 0)
	}
	many.review(time.Second, decodeStep, yieldPerMs)
	g.Expect(many.pauseFraction).To(BeNumerically("~", 400*6.0/14000, 0.001))
	many.addStream(stream(400, 15*time.Second, 12000), 100*time.Millisecond)
	g.Expect(many.pauseLeft).To(BeNumerically("~", 20*time.Millisecond, 2*time.Millisecond))

	one.addStream(stream(400, 15*time.Second, 1500), 0)
	one.review(time.Second, decodeStep, yieldPerMs)
	g.Expect(one.pauseFraction).To(BeZero())
}

// Guards against pauses for an answer that can't meet its deadline.
func TestLostAnswerCausesNoPause(t *testing.T) {
	g := NewWithT(t)
	var p prefillThrottle
	p.addStream(stream(1000, 3*time.Second, 1e6), 0)
	p.review(time.Second, decodeStep, 80)
	g.Expect(p.pauseFraction).To(BeZero())
}

// Guards against a pause that never ends: it counts down while nothing is prefilled.
func TestPauseEnds(t *testing.T) {
	g := NewWithT(t)
	p := prefillThrottle{pauseFraction: 0.2}
	p.addStream(stream(10, time.Second, 1), 80*time.Millisecond)
	g.Expect(p.pauseLeft).To(Equal(20 * time.Millisecond))
	p.advance(15*time.Millisecond, decodeStep, true)
	g.Expect(p.pauseLeft).To(Equal(20 * time.Millisecond))
	p.advance(15*time.Millisecond, decodeStep, false)
	g.Expect(p.pauseLeft).To(Equal(5 * time.Millisecond))
	p.advance(time.Second, decodeStep, false)
	g.Expect(p.pauseLeft).To(BeZero())
}

// Guards against callers starved by running answers: prefill gets at least half of the
// time.
func TestPauseFractionIsBounded(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var p prefillThrottle
		for range rapid.IntRange(0, 40).Draw(rt, "streams") {
			p.addStream(stream(rapid.IntRange(0, 5000).Draw(rt, "output"),
				time.Duration(rapid.IntRange(0, 20000).Draw(rt, "due"))*time.Millisecond,
				rapid.Float64Range(0, 1e7).Draw(rt, "worth")), 0)
		}
		p.review(time.Duration(rapid.IntRange(100, 15000).Draw(rt, "now"))*time.Millisecond, decodeStep, rapid.Float64Range(0, 500).Draw(rt, "yield"))
		if p.pauseFraction < 0 || p.pauseFraction > maxPauseFraction {
			rt.Fatal(p.pauseFraction)
		}
	})
}
