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
	p.homes++
	p.again = now.Add(n.cfg.AskAgain)
	if p.home == nil {
		n.deliver(now, p.key, p.group.core.Submit(time.Duration(now), p.request))
		return
	}
	n.send(p.home.addr, &packet{Ask: n.newAsk(p.key, p.request)})
}

// confirmEvery is how often a router asks whether its request still waits: the
// decision may have been lost on the way.
const confirmEvery = 250 * time.Millisecond

// retryAsks asks again where no answer came. A request must not wait for a router
// that is gone.
func (n *Node) retryAsks(now boottime.Time) {
	for _, p := range n.pending {
		if p.home == nil {
			continue
		}
		if !p.acked && now >= p.local {
			n.unanswered(now, p)
			continue
		}
		if now >= p.again {
			p.again = now.Add(max(n.cfg.AskAgain, 2*n.Lag()))
			if p.acked {
				p.again = now.Add(confirmEvery)
				p.acked = false
				p.local = now.Add(n.cfg.AskLocal)
			}
			n.send(p.home.addr, &packet{Ask: n.newAsk(p.key, p.request)})
		}
	}
}

const (
	// behindWait is how long a router that is late with reading waits for an answer.
	// Longer, and the caller could have been served by another router meanwhile.
	behindWait = 400 * time.Millisecond
	// maxHomes is how many homes are asked for one request: the first, and the one
	// that takes over from it.
	maxHomes = 2
	// isolatedAfter is the silence of all peers that means that this router is cut
	// off. Members send several datagrams a second.
	isolatedAfter = 300 * time.Millisecond
)

// unanswered decides what becomes of a request whose home doesn't answer.
//
// Where each router decides by itself, or asks a second home beside the first, upstreams
// get more than they can do, and teams are charged twice. A home whose answer hasn't been
// read yet must not be taken for silent: it is only once all that had come when the answer
// was due has been read. A router that is late with reading waits until then, or sends its
// caller to another router; one that has read it asks the home that takes over; only one
// that hears nobody decides.
func (n *Node) unanswered(now boottime.Time, p *pending) {
	switch {
	case n.marks.readTo >= p.local:
		n.leaveHome(now, p)
	case now.Sub(p.asked) < behindWait:
		n.sendMark(now)
	default:
		n.cancelAt(p.home, p.key, p.request.Ticket.Seq)
		n.decided(now, dispatch.Decision{Ticket: p.request.Ticket, Verdict: dispatch.Refuse, RouterOverloaded: true})
	}
}

// leaveHome turns to the next home of a request's group. The one before may still
// hear the question, late; it is told that the request isn't its own any more, or
// it would keep room for it until its deadline.
func (n *Node) leaveHome(now boottime.Time, p *pending) {
	silent := p.home
	silent.doubted = true
	n.limited.Warn("home_silent", func(e *obs.Event) {
		e.Str("group", p.group.key).Uint64("router", silent.id).Dur("after", now.Sub(p.asked)).Msg("home doesn't answer")
	})
	n.cancelAt(silent, p.key, p.request.Ticket.Seq)
	if p.homes < maxHomes && now.Sub(n.heardAt) < isolatedAfter {
		p.local = now.Add(n.cfg.AskLocal)
		n.ask(now, p)
		return
	}
	p.home = nil
	n.deliver(now, p.key, p.group.core.Submit(time.Duration(now), p.request))
}

// cancelAt tells a home that it need not keep room for a request.
func (n *Node) cancelAt(home *member, key groupKey, seq uint64) {
	n.send(home.addr, &packet{Report: &report{
		Kind: ended, Seq: seq, Service: key.service, Group: key.index, Outcome: dispatch.NotSent,
	}})
}

func (n *Node) newAsk(key groupKey, r dispatch.Request) *ask {
	a := &ask{
		Seq: r.Ticket.Seq, ID: r.ID, Service: key.service, Group: n.numberOf(key), Team: r.Team, Rank: r.Priority,
		Prompt: r.Prompt, Output: r.Output, TargetMs: millis(r.Target), LeftMs: millis(r.Timeout),
		Warm: r.CacheHint, Avoid: r.Avoid, Regions: r.Regions,
	}
	for _, p := range r.Parts {
		a.Parts = append(a.Parts, part{ID: p.ID, Tokens: p.Tokens})
	}
	return a
}

func (a *ask) request(router uint64) dispatch.Request {
	r := dispatch.Request{
		Ticket: dispatch.Ticket{Router: router, Seq: a.Seq}, ID: a.ID, Team: a.Team, Priority: a.Rank,
		Prompt: a.Prompt, Output: a.Output, Target: duration(a.TargetMs), Timeout: duration(a.LeftMs),
		CacheHint: a.Warm, Avoid: a.Avoid, Regions: a.Regions,
	}
	for _, p := range a.Parts {
		r.Parts = append(r.Parts, dispatch.Part{ID: p.ID, Tokens: p.Tokens})
	}
	return r
}

func millis(d time.Duration) int32 { return int32(d.Milliseconds()) }

func duration(ms int32) time.Duration { return time.Duration(ms) * time.Millisecond }
