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
	return &job{Request: Request{Output: output}, deadlineAt: due, tokens: worth}
}

const token = 6 * time.Millisecond

// Twenty long answers run at an engine that is kept full of prompts; at a token every
// 80 ms none would end. They are worth more than what is read meanwhile, so the engine
// rests for the part of its time that they need. One answer of little worth is not
// worth the callers that would wait for it.
func TestEngineRestsForAnswersThatAreWorthIt(t *testing.T) {
	g := NewWithT(t)
	const yieldPerMs = 80
	var many, one pace
	for range 20 {
		many.begin(stream(400, 15*time.Second, 12000), 0)
	}
	many.review(time.Second, token, yieldPerMs)
	g.Expect(many.duty).To(BeNumerically("~", 400*6.0/14000, 0.001))
	many.begin(stream(400, 15*time.Second, 12000), 100*time.Millisecond)
	g.Expect(many.rest).To(BeNumerically("~", 20*time.Millisecond, 2*time.Millisecond))

	one.begin(stream(400, 15*time.Second, 1500), 0)
	one.review(time.Second, token, yieldPerMs)
	g.Expect(one.duty).To(BeZero())
}

// An answer that can't end in time whatever the engine does keeps no caller waiting.
func TestLostAnswerKeepsNobodyWaiting(t *testing.T) {
	g := NewWithT(t)
	var p pace
	p.begin(stream(1000, 3*time.Second, 1e6), 0)
	p.review(time.Second, token, 80)
	g.Expect(p.duty).To(BeZero())
}

// The engine rests while it reads nothing, and the rest ends.
func TestRestEnds(t *testing.T) {
	g := NewWithT(t)
	p := pace{duty: 0.2}
	p.begin(stream(10, time.Second, 1), 80*time.Millisecond)
	g.Expect(p.rest).To(Equal(20 * time.Millisecond))
	p.advance(15*time.Millisecond, token, true)
	g.Expect(p.rest).To(Equal(20 * time.Millisecond))
	p.advance(15*time.Millisecond, token, false)
	g.Expect(p.rest).To(Equal(5 * time.Millisecond))
	p.advance(time.Second, token, false)
	g.Expect(p.rest).To(BeZero())
}

// Whatever runs, reading goes on for half of the time at least, or the callers of new
// requests would wait for answers that others wait for.
func TestDutyIsBounded(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var p pace
		for range rapid.IntRange(0, 40).Draw(rt, "streams") {
			p.begin(stream(rapid.IntRange(0, 5000).Draw(rt, "output"),
				time.Duration(rapid.IntRange(0, 20000).Draw(rt, "due"))*time.Millisecond,
				rapid.Float64Range(0, 1e7).Draw(rt, "worth")), 0)
		}
		p.review(time.Duration(rapid.IntRange(100, 15000).Draw(rt, "now"))*time.Millisecond, token, rapid.Float64Range(0, 500).Draw(rt, "yield"))
		if p.duty < 0 || p.duty > mostDuty {
			rt.Fatal(p.duty)
		}
	})
}
