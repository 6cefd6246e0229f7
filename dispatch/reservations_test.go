package dispatch_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/aspenswitch/aspenswitch/dispatch"
)

// newReservingCore returns a core for n engines that keeps room for refused requests and has had
// little to do until start. All teams are within their share.
func newReservingCore(n int) *dispatch.Core {
	cfg := dispatch.DefaultConfig(true)
	cfg.Reservations = true
	c := dispatch.New(cfg)
	c.SetMembers(time.Second, engines(n))
	c.SetCapacity(1e6)
	c.Submit(2*time.Second, request(earlier, "a", earlier))
	c.Started(2250*time.Millisecond, ticket(earlier))
	c.Done(3*time.Second, ticket(earlier), dispatch.Served, time.Second)
	return c
}

// smallRequest returns a request that an engine prefills in 60 ms.
func smallRequest(seq uint64, team string, session uint64) dispatch.Request {
	r := request(seq, team, session)
	r.Prompt, r.Target = 2000, 400*time.Millisecond
	r.Parts[0].Tokens, r.Parts[1].Tokens = 500, 1500
	return r
}

const (
	start = 10 * time.Second
	// earlier is the number of a request before start, firstSessions the first of the sessions
	// to which one request each belongs.
	earlier, firstSessions = 9999, 1000
)

// fill submits requests of a team until one is refused, and returns its number and the refusal.
func fill(c *dispatch.Core, now time.Duration, team string, seq uint64) (uint64, dispatch.Decision) {
	for ; ; seq++ {
		for _, d := range c.Submit(now, smallRequest(seq, team, firstSessions+seq)) {
			if d.Verdict == dispatch.Refuse {
				return seq, d
			}
		}
	}
}

// returned is the second attempt of request seq after wait, under the number again.
func returned(seq, again uint64, team string, wait time.Duration) dispatch.Request {
	r := smallRequest(seq, team, firstSessions+seq)
	r.Ticket, r.Timeout = ticket(again), r.Timeout-wait
	return r
}

// serve lets all requests that were sent before have their answers.
func serve(c *dispatch.Core, now time.Duration, last uint64) {
	for seq := range last {
		c.Started(now, ticket(seq))
		c.Done(now, ticket(seq), dispatch.Served, time.Second)
	}
}

// Guards against room at the time of a Retry-After that goes to whoever comes first: the caller
// returns while the engine has work for all of the target, and is sent before what waits.
func TestReservedRequestGoesFirst(t *testing.T) {
	g := NewWithT(t)
	c := newReservingCore(2)
	now := start
	sent, _ := fill(c, now, "a", 0)
	const refused, again = 400, 500
	r := smallRequest(refused, "a", refused)
	r.Target = 100 * time.Millisecond // it will be late, so that only its reservation puts it first
	d := c.Submit(now, r)[0]
	g.Expect(d.Details.Reserved).To(BeNumerically(">", 0))
	g.Expect(d.RetryAfter).To(Equal(d.Details.Reserved))

	now += d.RetryAfter
	serve(c, now, sent)
	waiting, _ := fill(c, now, "b", 100)
	r.Ticket, r.Timeout = ticket(again), r.Timeout-d.RetryAfter
	g.Expect(c.Submit(now, r)[0].Verdict).To(Equal(dispatch.Wait))
	var ds []dispatch.Decision
	for seq := uint64(100); seq < waiting && len(ds) == 0; seq++ {
		ds = c.Started(now, ticket(seq))
	}
	g.Expect(ds[0].Ticket.Seq).To(Equal(uint64(again)))
	g.Expect(ds[0].Verdict).To(Equal(dispatch.Send))
	g.Expect(c.State(now).Counts.ReservationsKept).To(Equal(1))
}

// Guards against new requests that are accepted into reserved room and then wait too long: the
// reserved work counts as ahead of them.
func TestReservedWorkDelaysNewRequests(t *testing.T) {
	g := NewWithT(t)
	c, other := newReservingCore(2), newReservingCore(2)
	now := start
	refused, d := fill(c, now, "a", 0)
	fill(other, now, "a", 0)
	now += d.RetryAfter
	for _, core := range []*dispatch.Core{c, other} {
		serve(core, now, refused)
	}
	// In the other core the caller has returned and left.
	other.Submit(now, returned(refused, 500, "a", d.RetryAfter))
	other.Done(now, ticket(500), dispatch.NotSent, 0)
	withReservation, without := c.Submit(now, smallRequest(600, "b", 600))[0], other.Submit(now, smallRequest(600, "b", 600))[0]
	g.Expect(withReservation.PredictedFirstByte).To(BeNumerically(">", without.PredictedFirstByte))
}

// Guards against an engine that is idle for a caller who hasn't returned: a request that is ready
// is sent.
func TestEngineIsNotIdleForAReservation(t *testing.T) {
	g := NewWithT(t)
	c := newReservingCore(2)
	now := start
	refused, d := fill(c, now, "a", 0)
	now += d.RetryAfter
	serve(c, now, refused)
	g.Expect(c.Submit(now, smallRequest(600, "b", 600))[0].Verdict).To(Equal(dispatch.Send))
}

// Guards against room that is kept for a caller who doesn't return.
func TestCallerThatDoesNotReturnFreesItsRoom(t *testing.T) {
	g := NewWithT(t)
	c := newReservingCore(2)
	now := start
	refused, d := fill(c, now, "a", 0)
	g.Expect(c.State(now).Reservations).To(Equal(1))
	serve(c, now, refused)
	now += d.RetryAfter + 150*time.Millisecond
	c.Tick(now)
	g.Expect(c.State(now).Reservations).To(BeZero())
	g.Expect(c.State(now).Counts.ReservationsUnused).To(Equal(1))
}

// Guards against the refusal of a caller who returns before its time, as it usually returns only
// once: it waits and is sent at its time at the latest.
func TestCallerThatReturnsEarlyWaits(t *testing.T) {
	g := NewWithT(t)
	c := newReservingCore(2)
	now := start
	refused, d := fill(c, now, "a", 0)
	const again, early = 500, 50 * time.Millisecond
	g.Expect(verdicts(c.Submit(now+early, returned(refused, again, "a", early)))[again].Verdict).To(Equal(dispatch.Wait))
	serve(c, now+d.RetryAfter, refused)
	g.Expect(c.State(now + d.RetryAfter).Counts.ReservationsKept).To(Equal(1))
}

// Guards against a place that is used twice: a copy of the request gets none.
func TestReservationIsUsedOnce(t *testing.T) {
	g := NewWithT(t)
	c := newReservingCore(2)
	now := start
	refused, d := fill(c, now, "a", 0)
	now += d.RetryAfter
	c.Submit(now, returned(refused, 500, "a", d.RetryAfter))
	g.Expect(verdicts(c.Submit(now, returned(refused, 501, "a", d.RetryAfter)))[501].Verdict).To(Equal(dispatch.Refuse))
}

// Guards against callers who are asked to return although no room is expected: they are told all
// the time that they have left, and nothing is reserved.
func TestCallerWithoutRoomBeforeItsEndIsRefusedForGood(t *testing.T) {
	g := NewWithT(t)
	c := newReservingCore(2)
	now := start
	fill(c, now, "a", 0)
	r := smallRequest(500, "b", 500)
	r.Timeout = 600 * time.Millisecond // the backlog is longer than a third of it
	d := c.Submit(now, r)[0]
	g.Expect(d.Verdict).To(Equal(dispatch.Refuse))
	g.Expect(d.Details.NoRoom).To(BeTrue())
	g.Expect(d.Details.Reserved).To(BeZero())
	g.Expect(d.RetryAfter).To(Equal(r.Timeout))
}

// Guards against a team that reserves all room with many requests: another one finds some.
func TestOneTeamCannotReserveAllRoom(t *testing.T) {
	g := NewWithT(t)
	c := newReservingCore(4)
	now := start
	seq, _ := fill(c, now, "a", 0)
	for ; seq < 400; seq++ {
		c.Submit(now, smallRequest(seq, "a", firstSessions+seq))
	}
	before := c.State(now).Counts.Reservations
	_, d := fill(c, now, "b", 500)
	g.Expect(before).To(BeNumerically(">", 1))
	g.Expect(d.Details.Reserved).To(BeNumerically(">", 0))
}

// Guards against promises that outlive the engines: those beyond what the rest can do are void,
// their callers are not refused for good when they return, and no room is left reserved.
func TestLostEnginesVoidReservations(t *testing.T) {
	g := NewWithT(t)
	c := newReservingCore(6)
	now := start
	first, _ := fill(c, now, "a", 0)
	type caller struct {
		seq uint64
		d   dispatch.Decision
	}
	var callers []caller
	for seq := first + 1; seq < first+200; seq++ {
		if d := c.Submit(now, smallRequest(seq, "a", firstSessions+seq))[0]; d.Details.Reserved > 0 {
			callers = append(callers, caller{seq, d})
		}
	}
	now += 60 * time.Millisecond
	c.SetMembers(now, engines(1))
	c.Tick(now)
	void := c.State(now).Counts.ReservationsVoid
	g.Expect(void).To(BeNumerically(">", 0))
	g.Expect(void).To(BeNumerically("<", c.State(now).Counts.Reservations))

	latest := time.Duration(0)
	for i, x := range callers {
		at := start + x.d.RetryAfter
		c.Tick(at)
		again := c.Submit(at, returned(x.seq, uint64(1000+i), "a", x.d.RetryAfter))[0]
		if again.Details.Reserved > 0 {
			latest = max(latest, at+again.Details.Reserved)
		}
	}
	g.Expect(latest).To(BeNumerically(">", 0), "a caller whose reservation was void gets another one while there is room")
}
