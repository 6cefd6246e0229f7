package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/aspenswitch/aspenswitch/dispatch"
)

const router = 7

// newCore returns a core for n engines with the data sheet's figures.
func newCore(n int) *dispatch.Core {
	c := dispatch.New(dispatch.DefaultConfig(true))
	c.SetMembers(time.Second, engines(n))
	return c
}

func engines(n int) []dispatch.Member {
	var members []dispatch.Member
	for i := range n {
		members = append(members, dispatch.Member{
			Incarnation: incarnation(fmt.Sprintf("e%d", i)), Slots: 64, KVTokens: 232000, CopyPerToken: 4767 * time.Nanosecond,
		})
	}
	return members
}

// incarnation returns an incarnation with unknown start.
func incarnation(id string) dispatch.Incarnation { return dispatch.Incarnation{ID: id} }

// request returns a request of a session, with a shared part of 6,000 tokens and a part of
// its own.
func request(seq uint64, team string, session uint64) dispatch.Request {
	return dispatch.Request{
		Ticket: dispatch.Ticket{Router: router, Seq: seq}, Team: team, Prompt: 9000, Output: 50,
		Parts:  []dispatch.Part{{ID: session, Tokens: 6000}, {ID: 1 << 40 * (seq + 1), Tokens: 3000}},
		Target: 800 * time.Millisecond, Timeout: 6 * time.Second,
	}
}

// verdicts indexes decisions by sequence number.
func verdicts(ds []dispatch.Decision) map[uint64]dispatch.Decision {
	out := map[uint64]dispatch.Decision{}
	for _, d := range ds {
		out[d.Ticket.Seq] = d
	}
	return out
}

func ticket(seq uint64) dispatch.Ticket { return dispatch.Ticket{Router: router, Seq: seq} }

func TestSessionGoesWhereItsPartsAreCached(t *testing.T) {
	g := NewWithT(t)
	c := newCore(6)
	now := 2 * time.Second
	first := c.Submit(now, request(1, "a", 5))[0]
	g.Expect(first.Verdict).To(Equal(dispatch.Send))
	c.Started(now+300*time.Millisecond, ticket(1))
	c.Done(now+time.Second, ticket(1), dispatch.Served, time.Second)
	second := c.Submit(now+2*time.Second, request(2, "a", 5))[0]
	g.Expect(second.Upstream).To(Equal(first.Upstream))
	g.Expect(second.CopyFrom).To(BeEmpty())
}

// Guards against callers that wait until their deadline and get nothing. If more arrives
// at once than the engine can prefill within the target, the excess is refused on
// submission, with the predicted time until it would be served.
func TestWhatCannotBeServedInTimeIsRefusedAtOnce(t *testing.T) {
	g := NewWithT(t)
	c := newCore(1)
	now := 2 * time.Second
	refused := 0
	for seq := range uint64(30) {
		d := c.Submit(now, request(seq, "a", seq))[0]
		if d.Verdict != dispatch.Refuse {
			g.Expect(d.PredictedFirstByte).To(BeNumerically("<=", 800*time.Millisecond))
			continue
		}
		refused++
		g.Expect(d.RetryAfter).To(BeNumerically(">", 0))
		g.Expect(d.RetryAfter).To(BeNumerically("<", 6*time.Second))
	}
	g.Expect(refused).To(BeNumerically(">", 20))
	g.Expect(refused).To(BeNumerically("<", 30))
}

// Guards against queued requests without a decision: each one is sent, or refused as soon
// as it certainly misses its target.
func TestEveryWaitEndsInADecision(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(1, 4).Draw(rt, "engines")
		c := newCore(n)
		now := 2 * time.Second
		state := map[uint64]dispatch.Verdict{}
		sent := map[uint64]time.Duration{}
		record := func(ds []dispatch.Decision) {
			for _, d := range ds {
				if state[d.Ticket.Seq] == dispatch.Refuse {
					rt.Fatalf("request %d: decision after a refusal", d.Ticket.Seq)
				}
				state[d.Ticket.Seq] = d.Verdict
				if d.Verdict == dispatch.Send {
					sent[d.Ticket.Seq] = now
				}
			}
		}
		for seq := range uint64(rapid.IntRange(1, 60).Draw(rt, "requests")) {
			now += time.Duration(rapid.IntRange(0, 60).Draw(rt, "gap")) * time.Millisecond
			team := fmt.Sprint("t", rapid.IntRange(0, 3).Draw(rt, "team"))
			record(c.Submit(now, request(seq, team, uint64(rapid.IntRange(0, 5).Draw(rt, "session")))))
			record(c.Tick(now))
			for s, at := range sent {
				if now-at > 250*time.Millisecond {
					record(c.Started(now, ticket(s)))
					record(c.Done(now, ticket(s), dispatch.Served, now-at))
					delete(sent, s)
				}
			}
		}
		for range 400 {
			now += 10 * time.Millisecond
			record(c.Tick(now))
			for s := range sent {
				record(c.Done(now, ticket(s), dispatch.Served, time.Second))
				delete(sent, s)
			}
		}
		for seq, v := range state {
			if v == dispatch.Wait {
				rt.Fatalf("request %d waits forever", seq)
			}
		}
	})
}

// Guards against refusals of a small team because a flood fills the engines in every gap.
// The small team is within its share and must be served; the flood is refused.
func TestSmallTeamIsServedBesideAFlood(t *testing.T) {
	g := NewWithT(t)
	c := newCore(2)
	c.SetCapacity(40000)
	run := newSimulation(c)
	for range 800 { // 8 s
		run.step(10 * time.Millisecond)
		for range 2 {
			run.submit("flood", uint64(run.seq%40))
		}
		if run.now%(200*time.Millisecond) == 0 {
			run.submit("small", 1000)
		}
	}
	small := float64(run.served["small"]) / float64(run.submitted["small"])
	flood := float64(run.served["flood"]) / float64(run.submitted["flood"])
	g.Expect(small).To(BeNumerically(">", 0.8), "served fraction of the small team; that of the flood is %.2f", flood)
	g.Expect(flood).To(BeNumerically("<", 0.3))
	g.Expect(run.idleFraction()).To(BeNumerically("<", 0.25), "fraction of the time in which an engine had no backlog")
}

// Guards against a flood that starves another one by its higher request rate.
func TestTwoFloodsShareWhatIsLeft(t *testing.T) {
	g := NewWithT(t)
	c := newCore(2)
	c.SetCapacity(40000)
	run := newSimulation(c)
	for range 1200 {
		run.step(10 * time.Millisecond)
		for range 3 {
			run.submit("dense", uint64(run.seq%40))
		}
		if run.now%(20*time.Millisecond) == 0 {
			run.submit("thin", uint64(100+run.seq%40))
		}
	}
	g.Expect(run.served["thin"] * 2).To(BeNumerically(">=", run.served["dense"]))
}

// Guards against a new home that refuses everything because its accounts have just started.
// All routers were replaced, so it has no record of caches and shares.
func TestSharesOfANewHomeDoNotCollapse(t *testing.T) {
	g := NewWithT(t)
	c := newCore(4)
	c.SetCapacity(100000)
	run := newSimulation(c)
	for range 200 {
		run.step(10 * time.Millisecond)
		run.submit(fmt.Sprint("t", run.seq%3), uint64(run.seq%20))
	}
	part := float64(run.served["t0"]+run.served["t1"]+run.served["t2"]) / float64(run.seq)
	g.Expect(part).To(BeNumerically(">", 0.2))
}

// Guards against a request that takes two slots because its router submitted it again
// after a lost reply. The decision must name the same upstream.
func TestAskingAgainRepeatsTheDecision(t *testing.T) {
	g := NewWithT(t)
	c := newCore(2)
	now := 2 * time.Second
	first := c.Submit(now, request(1, "a", 5))[0]
	again := c.Submit(now, request(1, "a", 5))[0]
	g.Expect(again.Verdict).To(Equal(dispatch.Send))
	g.Expect(again.Upstream).To(Equal(first.Upstream))
	c.Done(now+time.Second, ticket(1), dispatch.Served, time.Second)
	g.Expect(c.Done(now+time.Second, ticket(1), dispatch.Served, time.Second)).To(BeEmpty())
}

// Guards against an engine that stays full because a router crashed and the completions of
// its requests were never reported.
func TestLostEndsExpire(t *testing.T) {
	g := NewWithT(t)
	c := dispatch.New(dispatch.DefaultConfig(false))
	c.SetMembers(time.Second, []dispatch.Member{{Incarnation: incarnation("s"), Slots: 1}})
	r := dispatch.Request{Ticket: ticket(1), Target: 150 * time.Millisecond, Timeout: time.Second}
	g.Expect(c.Submit(2*time.Second, r)[0].Verdict).To(Equal(dispatch.Send))
	r.Ticket = ticket(2)
	c.Tick(5 * time.Second)
	g.Expect(c.Submit(5*time.Second, r)[0].Verdict).To(Equal(dispatch.Send))
}

// Guards against requests to an unreachable upstream, and against an upstream that is
// never tried again. Each further ban is twice as long, up to BanMax; the durations
// aren't checked here.
func TestUnreachableUpstreamIsBannedTemporarily(t *testing.T) {
	g := NewWithT(t)
	c := newCore(2)
	now := 2 * time.Second
	unreachable := c.Submit(now, request(1, "a", 5))[0].Upstream
	c.Done(now, ticket(1), dispatch.Unreachable, 0)
	g.Expect(c.Submit(now, request(2, "a", 5))[0].Upstream).NotTo(Equal(unreachable))
	retried := false
	for seq := uint64(3); seq < 40; seq++ {
		now += 200 * time.Millisecond
		d := verdicts(c.Submit(now, request(seq, "a", seq+100)))[seq]
		retried = retried || d.Upstream == unreachable
		c.Done(now+100*time.Millisecond, ticket(seq), dispatch.Served, 100*time.Millisecond)
	}
	g.Expect(retried).To(BeTrue())
}

// Guards against prefilling a session's part twice: a second request waits until the first
// one, which is prefilling the part, has its first byte.
func TestPartThatIsBeingReadIsWaitedFor(t *testing.T) {
	g := NewWithT(t)
	c := newCore(1)
	now := 2 * time.Second
	g.Expect(c.Submit(now, request(1, "a", 5))[0].Verdict).To(Equal(dispatch.Send))
	g.Expect(c.Submit(now, request(2, "a", 5))[0].Verdict).To(Equal(dispatch.Wait))
	ds := verdicts(c.Started(now+250*time.Millisecond, ticket(1)))
	g.Expect(ds[2].Verdict).To(Equal(dispatch.Send))
}

// Guards against the refusal of a whole session because its first request hangs at the
// engine while the others wait for its prefill.
func TestPartOfAHungRequestIsNotWaitedForUntilTheTarget(t *testing.T) {
	g := NewWithT(t)
	c := newCore(1)
	now := 2 * time.Second
	slow := request(1, "a", 5)
	g.Expect(c.Submit(now, slow)[0].Verdict).To(Equal(dispatch.Send))
	next := request(2, "a", 5)
	next.Target = 5 * time.Second
	g.Expect(c.Submit(now, next)[0].Verdict).To(Equal(dispatch.Wait))
	sent := false
	for range 200 {
		now += 10 * time.Millisecond
		sent = sent || verdicts(c.Tick(now))[2].Verdict == dispatch.Send
	}
	g.Expect(sent).To(BeTrue())
}

// Guards against sessions spread by a new home: it has no record of the caches until the
// engines report what they have cached.
func TestSeededHomeKeepsSessionsTogether(t *testing.T) {
	g := NewWithT(t)
	c := newCore(6)
	c.SeedCache(incarnation("e4"), []dispatch.Part{{ID: 5, Tokens: 6000}})
	g.Expect(c.Submit(2*time.Second, request(1, "a", 5))[0].Upstream).To(Equal("e4"))
}

// Guards against a session bound to a busy engine: another engine copies the parts and
// serves it.
func TestBusySessionIsCopiedToAnIdleEngine(t *testing.T) {
	g := NewWithT(t)
	c := newCore(2)
	c.SeedCache(incarnation("e0"), []dispatch.Part{{ID: 5, Tokens: 6000}})
	now := 2 * time.Second
	var other dispatch.Decision
	for seq := range uint64(12) {
		d := c.Submit(now, request(seq, "a", 5))[0]
		if d.Verdict == dispatch.Send && d.Upstream == "e1" {
			other = d
			break
		}
	}
	g.Expect(other.CopyFrom).To(Equal("e0"))
}

// Guards against teams that are charged for requests that no upstream ran.
func TestRequestThatDidNotRunIsNotCharged(t *testing.T) {
	for _, o := range []dispatch.Outcome{dispatch.NotSent, dispatch.Rejected} {
		g := NewWithT(t)
		c := newCore(2)
		now := 2 * time.Second
		g.Expect(c.Submit(now, request(1, "a", 5))[0].Verdict).To(Equal(dispatch.Send))
		charged := c.LocalUsage(now, "a")
		g.Expect(charged.Window).To(BeNumerically(">=", 9000))
		g.Expect(charged.Recent).To(BeNumerically(">=", 9000))
		now += 300 * time.Millisecond
		c.Done(now, ticket(1), o, 0)
		left := c.LocalUsage(now, "a")
		g.Expect(left.Window).To(BeNumerically("<", 1))
		g.Expect(left.Recent).To(BeNumerically("<", 1))

		// A request that has started is charged whatever its outcome.
		g.Expect(c.Submit(now, request(2, "b", 6))[0].Verdict).To(Equal(dispatch.Send))
		c.Started(now, ticket(2))
		c.Done(now, ticket(2), o, time.Second)
		g.Expect(c.LocalUsage(now, "b").Window).To(BeNumerically(">=", 9000))
	}
}
