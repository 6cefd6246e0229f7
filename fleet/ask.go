package fleet

import (
	"time"

	"github.com/aspenswitch/aspenswitch/boottime"
	"github.com/aspenswitch/aspenswitch/dispatch"
	"github.com/aspenswitch/aspenswitch/obs"
)

// sessionOf is the last part of a prompt that other requests share, 0 if none.
func sessionOf(parts []dispatch.Part) uint64 {
	if len(parts) < 2 {
		return 0
	}
	return parts[len(parts)-2].ID
}

// ask asks the group's home, which may be this router.
func (n *Node) ask(now boottime.Time, p *pending) {
	p.home = n.homeOf(now, p.group)
	p.again = now.Add(n.cfg.AskAgain)
	if p.home == nil {
		n.deliver(now, p.key, p.group.core.Ask(time.Duration(now), p.request))
		return
	}
	n.send(p.home.addr, &packet{Ask: newAsk(p.key, p.request)})
}

// confirmEvery is how often a router asks whether its request still waits: the
// decision may have been lost on the way.
const confirmEvery = 250 * time.Millisecond

// retryAsks asks again where no answer came, and decides here where the home
// doesn't answer at all: a request must not wait for a router that is gone.
func (n *Node) retryAsks(now boottime.Time) {
	for _, p := range n.pending {
		if p.home == nil {
			continue
		}
		if !p.acked && now >= p.local {
			n.decideHere(now, p)
			continue
		}
		if now >= p.again {
			p.again = now.Add(n.cfg.AskAgain)
			if p.acked {
				p.again = now.Add(confirmEvery)
				p.acked = false
				p.local = now.Add(n.cfg.AskLocal)
			}
			n.send(p.home.addr, &packet{Ask: newAsk(p.key, p.request)})
		}
	}
}

// decideHere places a request whose home doesn't answer. The home may still hear
// the question, late; it is told that the request isn't its own any more, or it
// would keep room for it until its deadline.
func (n *Node) decideHere(now boottime.Time, p *pending) {
	home := p.home
	home.doubted = true
	p.home = nil
	n.limited.Warn("home_silent", func(e *obs.Event) {
		e.Str("group", p.group.key).Uint64("router", home.id).Dur("after", now.Sub(p.asked)).Msg("home doesn't answer, deciding here")
	})
	n.cancelAt(home, p.key, p.request.Ticket.Seq)
	n.deliver(now, p.key, p.group.core.Ask(time.Duration(now), p.request))
}

// cancelAt tells a home that it need not keep room for a request.
func (n *Node) cancelAt(home *member, key groupKey, seq uint64) {
	n.send(home.addr, &packet{Report: &report{
		Kind: ended, Seq: seq, Service: key.service, Group: key.index, Outcome: dispatch.Cancelled,
	}})
}

func newAsk(key groupKey, r dispatch.Request) *ask {
	a := &ask{
		Seq: r.Ticket.Seq, ID: r.ID, Service: key.service, Group: key.index, Team: r.Team, Rank: r.Rank,
		Prompt: r.Prompt, Output: r.Output, TargetMs: millis(r.Target), LeftMs: millis(r.Left),
		Warm: r.Warm, Avoid: r.Avoid,
	}
	for _, p := range r.Parts {
		a.Parts = append(a.Parts, part{ID: p.ID, Tokens: p.Tokens})
	}
	return a
}

func (a *ask) request(router uint64) dispatch.Request {
	r := dispatch.Request{
		Ticket: dispatch.Ticket{Router: router, Seq: a.Seq}, ID: a.ID, Team: a.Team, Rank: a.Rank,
		Prompt: a.Prompt, Output: a.Output, Target: duration(a.TargetMs), Left: duration(a.LeftMs),
		Warm: a.Warm, Avoid: a.Avoid,
	}
	for _, p := range a.Parts {
		r.Parts = append(r.Parts, dispatch.Part{ID: p.ID, Tokens: p.Tokens})
	}
	return r
}

func millis(d time.Duration) int32 { return int32(d.Milliseconds()) }

func duration(ms int32) time.Duration { return time.Duration(ms) * time.Millisecond }
