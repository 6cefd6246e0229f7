package dispatch

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// reservationPlay submits drawn requests to a core that reserves. Callers return at their time,
// early, late or not at all.
type reservationPlay struct {
	rt   *rapid.T
	c    *Core
	now  time.Duration
	seq  uint64
	sent []Ticket
	// returns are the requests that callers will submit again.
	returns []returningRequest
	// deadlines are those of all requests.
	deadlines map[uint64]time.Duration
	requests  map[uint64]Request
}

type returningRequest struct {
	at      time.Duration
	request Request
}

func (p *reservationPlay) submit(r Request, deadline time.Duration) {
	p.seq++
	r.Ticket = Ticket{Router: 1, Seq: p.seq}
	r.Timeout = deadline - p.now
	p.requests[p.seq], p.deadlines[p.seq] = r, deadline
	p.apply(p.c.Submit(p.now, r))
}

func (p *reservationPlay) apply(ds []Decision) {
	for _, d := range ds {
		left := p.deadlines[d.Ticket.Seq] - p.now
		switch {
		case d.Verdict == Send:
			p.sent = append(p.sent, d.Ticket)
		case d.Verdict == Refuse:
			if d.Details.Reserved > left/retryDelayDivisor {
				p.rt.Fatalf("room is reserved in %v, the caller returns within %v", d.Details.Reserved, left/retryDelayDivisor)
			}
			if d.Details.Reserved > 0 && d.OverShare {
				p.rt.Fatal("room is reserved for a team above its share")
			}
			wait := min(d.RetryAfter, left/retryDelayDivisor)
			switch rapid.SampledFrom([]int{0, 1, 2, 3, 4, 5}).Draw(p.rt, "return") {
			case 0:
				continue
			case 1:
				wait /= 3
			case 2:
				wait += 200 * time.Millisecond
			}
			p.returns = append(p.returns, returningRequest{at: p.now + wait, request: p.requests[d.Ticket.Seq]})
		}
	}
}

func (p *reservationPlay) step(newRequest func() Request) {
	p.now += 10 * time.Millisecond
	var later []returningRequest
	for _, r := range p.returns {
		deadline := p.deadlines[r.request.Ticket.Seq]
		if r.at <= p.now && deadline > p.now {
			p.submit(r.request, deadline)
		} else if deadline > p.now {
			later = append(later, r)
		}
	}
	p.returns = later
	for range rapid.SampledFrom([]int{0, 1, 2, 4}).Draw(p.rt, "arrivals") {
		r := newRequest()
		p.submit(r, p.now+r.Timeout)
	}
	p.apply(p.c.Tick(p.now))
	for len(p.sent) > 0 && rapid.Bool().Draw(p.rt, "end") {
		t := p.sent[0]
		p.sent = p.sent[1:]
		p.apply(p.c.Started(p.now, t))
		p.apply(p.c.Done(p.now, t, Served, 100*time.Millisecond))
	}
}

// check checks the bounds of the reservations.
func (p *reservationPlay) check() {
	r := p.c.reservations
	if r == nil {
		return
	}
	listed, unreturned := 0, 0
	for i := range r.calendar.slots {
		s := &r.calendar.slots[i]
		listed += len(s.reservations)
		for _, x := range s.reservations {
			if !x.returned {
				unreturned++
			}
		}
		if s.work < 0 || s.work > maxSlotRoom {
			p.rt.Fatalf("%v of a slot are reserved, at most %v may be", s.work, maxSlotRoom)
		}
	}
	if listed != r.listed || listed > maxReservations || unreturned != len(r.byFingerprint) || r.unsent < 0 {
		p.rt.Fatalf("%d listed, %d counted, %d not returned, %d by fingerprint, %d unsent", listed, r.listed, unreturned, len(r.byFingerprint), r.unsent)
	}
	n := p.c.counts
	if ended := n.ReservationsKept + n.ReservationsMissed + n.ReservationsUnused + n.ReservationsVoid; ended+unreturned+r.unsent < n.Reservations || ended > n.Reservations {
		p.rt.Fatalf("%d made, %d ended, %d not returned, %d unsent", n.Reservations, ended, unreturned, r.unsent)
	}
}

// Guards against reservations without a bound, after a third of the time left or for teams above
// their share, and against room that is given twice, while engines are lost and callers return at
// any time.
func TestReservationsKeepTheirBounds(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		cfg := DefaultConfig(true)
		cfg.Reservations = true
		p := &reservationPlay{rt: rt, c: New(cfg), now: 2 * time.Second, deadlines: map[uint64]time.Duration{}, requests: map[uint64]Request{}}
		members := func(n int) (all []Member) {
			for i := range n {
				all = append(all, Member{Incarnation: Incarnation{ID: fmt.Sprint("e", i)}, Slots: 8, KVTokens: 232000})
			}
			return all
		}
		p.c.SetMembers(time.Second, members(3))
		p.c.SetCapacity(60000)
		for i := range rapid.IntRange(60, 200).Draw(rt, "steps") {
			p.step(func() Request {
				prompt := rapid.SampledFrom([]int{300, 3000, 9000}).Draw(rt, "prompt")
				return Request{
					Team: fmt.Sprint("t", rapid.SampledFrom([]int{0, 0, 0, 1, 2, 3, 4, 5}).Draw(rt, "team")), Prompt: prompt, Output: rapid.IntRange(1, 300).Draw(rt, "output"),
					Parts:  []Part{{ID: rapid.SampledFrom([]uint64{1, 2, 3, 4, 5, 6, 7, 8}).Draw(rt, "session"), Tokens: prompt / 2}, {ID: 1000 + p.seq, Tokens: prompt / 2}},
					Target: 600 * time.Millisecond, Timeout: rapid.SampledFrom([]time.Duration{time.Second, 3 * time.Second, 15 * time.Second}).Draw(rt, "timeout"),
				}
			})
			if i%40 == 30 {
				p.apply(p.c.SetMembers(p.now, members(rapid.SampledFrom([]int{0, 1, 2, 3, 4}).Draw(rt, "engines"))))
			}
			p.check()
		}
	})
}
