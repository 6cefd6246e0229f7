package dispatch

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

const ms = time.Millisecond

func queued(sentAt, cost time.Duration) *job { return &job{sentAt: sentAt, cost: cost} }

// Guards against an engine that gets nothing while it waits out its own delay.
func TestEngineIsFreeDuringTheDelay(t *testing.T) {
	g := NewWithT(t)
	const delay = 100 * ms
	var q prefillQueue
	first := queued(0, 50*ms)
	q.add(0, delay, first)
	g.Expect(q.endsAt(40*ms, delay)).To(Equal(50 * ms))
	g.Expect(q.endsAt(120*ms, delay)).To(Equal(50*ms), "idle, although the first byte is still due")
	second := queued(120*ms, 30*ms)
	q.add(120*ms, delay, second)
	g.Expect(q.endsAt(120*ms, delay)).To(Equal(150 * ms))
	measured, delayed, ok := q.observe(150*ms, delay, first)
	g.Expect([]any{measured, delayed, ok}).To(Equal([]any{150 * ms, true, true}))
	q.remove(150*ms, delay, first, true)
	_, _, ok = q.observe(250*ms, delay, second)
	g.Expect(ok).To(BeFalse(), "it may have waited for the first one")
}

// Guards against an engine that is taken for free because its predictions have passed.
func TestOverdueFirstByteDelaysTheRest(t *testing.T) {
	g := NewWithT(t)
	const delay = 20 * ms
	var q prefillQueue
	for range 3 {
		q.add(0, delay, queued(0, 50*ms))
	}
	g.Expect(q.endsAt(70*ms, delay)).To(Equal(150 * ms))
	g.Expect(q.endsAt(100*ms, delay)).To(Equal(180*ms), "the first is 30 ms late")
	q.add(100*ms, delay, queued(100*ms, 50*ms))
	g.Expect(q.endsAt(100*ms, delay)).To(Equal(230 * ms))
}

// A queue whose engine keeps to the predictions predicts each end, whatever is sent when.
func TestQueuePredictsAFirstComeFirstServedEngine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		delay := time.Duration(rapid.IntRange(0, 200).Draw(t, "delay")) * ms
		var q prefillQueue
		var now, end time.Duration
		for range rapid.IntRange(1, 30).Draw(t, "jobs") {
			now += time.Duration(rapid.IntRange(0, 80).Draw(t, "interval")) * ms
			for len(q.jobs) > 0 && q.jobs[0].prefillEndsAt+delay <= now {
				q.remove(q.jobs[0].prefillEndsAt+delay, delay, q.jobs[0], true)
			}
			cost := time.Duration(rapid.IntRange(1, 100).Draw(t, "cost")) * ms
			end = max(end, now) + cost
			q.add(now, delay, queued(now, cost))
			g.Expect(q.endsAt(now, delay)).To(Equal(end))
		}
	})
}
