package dispatch_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/aspenswitch/aspenswitch/dispatch"
)

// playStep is a call of a core.
type playStep struct {
	at      time.Duration
	kind    playKind
	request dispatch.Request
}

type playKind int

const (
	playSubmit playKind = iota
	playStarted
	playDone
	playTick
)

func (s playStep) apply(c *dispatch.Core) []dispatch.Decision {
	switch s.kind {
	case playSubmit:
		return c.Submit(s.at, s.request)
	case playStarted:
		return c.Started(s.at, s.request.Ticket)
	case playDone:
		return c.Done(s.at, s.request.Ticket, dispatch.Served, 400*time.Millisecond)
	}
	return c.Tick(s.at)
}

// recordPlay plays a load on a core, whose callers retry once, and returns the calls and the
// decisions.
func recordPlay(c *dispatch.Core, perSecond int, newRequest func(seq uint64) dispatch.Request) (steps []playStep, decisions []dispatch.Decision) {
	rnd := rand.New(rand.NewPCG(1, uint64(perSecond)))
	var planned []playStep
	submitted, retried := map[uint64]playStep{}, map[uint64]bool{}
	seq := uint64(0)
	plan := func(at time.Duration, kind playKind, r dispatch.Request) {
		planned = append(planned, playStep{at: at, kind: kind, request: r})
	}
	for now := 2 * time.Second; now < 6*time.Second; now += 10 * time.Millisecond {
		for range perSecond/100 + rnd.IntN(2) {
			seq++
			plan(now, playSubmit, newRequest(seq))
		}
		plan(now, playTick, dispatch.Request{})
		due := slices.Clone(planned)
		planned = planned[:0]
		for _, s := range due {
			if s.at > now {
				planned = append(planned, s)
				continue
			}
			s.at = now
			steps = append(steps, s)
			if s.kind == playSubmit {
				submitted[s.request.Ticket.Seq] = s
			}
			for _, d := range s.apply(c) {
				decisions = append(decisions, d)
				first := submitted[d.Ticket.Seq]
				switch {
				case d.Verdict == dispatch.Send:
					begun := now + time.Duration(60+rnd.IntN(200))*time.Millisecond
					plan(begun, playStarted, first.request)
					plan(begun+300*time.Millisecond, playDone, first.request)
				case d.Verdict == dispatch.Refuse && !retried[d.Ticket.Seq]:
					seq++
					retried[seq] = true
					again := first.request
					left := first.at + again.Timeout - now
					wait := min(d.RetryAfter, left/3)
					again.Ticket, again.Timeout = ticket(seq), left-wait
					plan(now+wait, playSubmit, again)
				}
			}
		}
	}
	return steps, decisions
}

// replay repeats recorded calls on another core.
func replay(c *dispatch.Core, steps []playStep) (decisions []dispatch.Decision) {
	for _, s := range steps {
		decisions = append(decisions, s.apply(c)...)
	}
	return decisions
}

func playedRequest(seq uint64) dispatch.Request {
	return request(seq, fmt.Sprint("t", seq%5), seq%30)
}

func plainRequest(seq uint64) dispatch.Request {
	return dispatch.Request{Ticket: ticket(seq), Team: fmt.Sprint("t", seq%5), Target: 200 * time.Millisecond, Timeout: time.Second}
}

// Guards against decisions that reservations change where none is needed: at a plain service, and
// while nothing is refused.
func TestReservationsChangeNoOtherDecisions(t *testing.T) {
	g := NewWithT(t)
	const overloaded, light = 300, 20
	for _, play := range []struct {
		engine     bool
		perSecond  int
		newRequest func(uint64) dispatch.Request
	}{{false, overloaded, plainRequest}, {true, light, playedRequest}} {
		core := func(reservations bool) *dispatch.Core {
			cfg := dispatch.DefaultConfig(play.engine)
			cfg.Reservations = reservations
			c := dispatch.New(cfg)
			c.SetMembers(time.Second, engines(6))
			return c
		}
		steps, recorded := recordPlay(core(false), play.perSecond, play.newRequest)
		g.Expect(replay(core(true), steps)).To(Equal(recorded))
	}
}
