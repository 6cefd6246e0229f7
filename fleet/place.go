package fleet

import (
	"context"
	"net/netip"
	"time"

	"github.com/aspenswitch/aspenswitch/boottime"
	"github.com/aspenswitch/aspenswitch/dispatch"
	"github.com/aspenswitch/aspenswitch/obs"
)

// pending is a request of this router that waits for a decision.
type pending struct {
	request dispatch.Request
	key     groupKey
	group   *group
	answer  chan dispatch.Decision
	// home is the router that was asked, nil for this one.
	home  *member
	asked boottime.Time
	again boottime.Time
	local boottime.Time
	acked bool
}

// heldRequest is a request of this router that is at an upstream.
type heldRequest struct {
	request  dispatch.Request
	key      groupKey
	group    *group
	upstream string
	begun    bool
	// home was told of it.
	home *member
}

// Place implements gateway.Placer.
func (n *Node) Place(ctx context.Context, service string, r dispatch.Request) (dispatch.Decision, error) {
	answer := make(chan dispatch.Decision, 1)
	select {
	case n.events <- placeEvent{service: service, request: r, answer: answer, at: n.now()}:
	case <-ctx.Done():
		return dispatch.Decision{}, ctx.Err()
	}
	select {
	case d := <-answer:
		return d, nil
	case <-ctx.Done():
		n.Done(service, r.Ticket, dispatch.Cancelled, 0)
		return dispatch.Decision{}, ctx.Err()
	}
}

// Started implements gateway.Placer.
func (n *Node) Started(_ string, t dispatch.Ticket) {
	n.events <- reportEvent{kind: began, seq: t.Seq}
}

// Done implements gateway.Placer.
func (n *Node) Done(_ string, t dispatch.Ticket, o dispatch.Outcome, took time.Duration) {
	n.events <- reportEvent{kind: ended, seq: t.Seq, outcome: o, took: took}
}

// maxWarm bounds the memory of where sessions were sent.
const maxWarm = 4096

// place begins to place a request of this router.
func (n *Node) place(now boottime.Time, e placeEvent) {
	s := n.feed.Snapshot()
	if s == nil {
		e.answer <- dispatch.Decision{Verdict: dispatch.Refuse, RetryAfter: time.Second}
		return
	}
	count := n.groupCount(len(s.View.Ready(e.service)))
	key := groupKey{service: e.service, index: n.pickGroup(e.service, count, e.request.Parts, e.request.Ticket.Seq)}
	g := n.group(now, key)
	e.request.Warm = n.warm[sessionOf(e.request.Parts)]
	p := &pending{request: e.request, key: key, group: g, answer: e.answer, asked: now}
	n.pending[e.request.Ticket.Seq] = p
	p.local = now.Add(n.cfg.AskLocal)
	n.ask(now, p)
}

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

func millis(d time.Duration) int32    { return int32(d.Milliseconds()) }
func duration(ms int32) time.Duration { return time.Duration(ms) * time.Millisecond }

// asked decides for a peer, as the home of the group.
func (n *Node) asked(now boottime.Time, from uint64, _ netip.AddrPort, a *ask) {
	if n.feed.Snapshot() == nil || n.members[from] == nil {
		return // the asker decides by itself
	}
	key := groupKey{service: a.Service, index: a.Group}
	g := n.group(now, key)
	n.deliver(now, key, g.core.Ask(time.Duration(now), a.request(from)))
}

// logRefusal tells what a refusal rests on.
func (n *Node) logRefusal(key groupKey, d dispatch.Decision) {
	b := &d.Basis
	n.limited.Warn("decision", func(e *obs.Event) {
		e.Str("request", b.ID).Str("service", key.service).Str("team", b.Team).Bool("over_share", d.Over).
			Int64("served_tokens", int64(b.Served)).Int64("share_tokens", int64(b.Share)).
			Int64("predicted_ms", d.Wait.Milliseconds()).Str("upstream", b.Upstream).
			Int64("unread_ms", b.Unread.Milliseconds()).Int("waiting", b.Waiting).Int("running", b.Running).
			Int64("retry_after_ms", d.RetryAfter.Milliseconds()).Msg("refused by the home")
	})
}

// deliver hands decisions to the requests, here or at peers.
func (n *Node) deliver(now boottime.Time, key groupKey, decisions []dispatch.Decision) {
	for _, d := range decisions {
		if d.Verdict == dispatch.Refuse {
			n.logRefusal(key, d)
		}
		if d.Ticket.Router == n.self {
			n.decided(now, d)
			continue
		}
		m := n.members[d.Ticket.Router]
		if m == nil {
			continue
		}
		n.send(m.addr, &packet{Reply: &reply{
			Seq: d.Ticket.Seq, Service: key.service, Group: key.index, Verdict: d.Verdict, Upstream: d.Upstream, CopyFrom: d.CopyFrom,
			RetryMs: millis(d.RetryAfter), WaitMs: millis(d.Wait), Over: d.Over,
		}})
	}
}

// replied takes in a home's decision. One for a request that is not waiting, or
// that was decided elsewhere, is given back: else the home would take an idle
// upstream for busy.
func (n *Node) replied(now boottime.Time, from *member, r *reply) {
	p, h := n.pending[r.Seq], n.held[r.Seq]
	stale := p == nil && (h == nil || h.home != from) || p != nil && p.home != from
	if stale {
		if r.Verdict == dispatch.Send && from != nil {
			n.cancelAt(from, groupKey{service: r.Service, index: r.Group}, r.Seq)
		}
		return
	}
	n.decided(now, dispatch.Decision{
		Ticket: dispatch.Ticket{Router: n.self, Seq: r.Seq}, Verdict: r.Verdict, Upstream: r.Upstream, CopyFrom: r.CopyFrom,
		RetryAfter: duration(r.RetryMs), Wait: duration(r.WaitMs), Over: r.Over,
	})
}

// decided passes a decision to the request that waits for it.
func (n *Node) decided(now boottime.Time, d dispatch.Decision) {
	p := n.pending[d.Ticket.Seq]
	if p == nil {
		return
	}
	if d.Verdict == dispatch.Wait {
		p.acked = true
		p.again = now.Add(max(confirmEvery, d.Wait+fastTick))
		return
	}
	delete(n.pending, d.Ticket.Seq)
	if d.Verdict == dispatch.Send {
		n.held[d.Ticket.Seq] = &heldRequest{request: p.request, key: p.key, group: p.group, upstream: d.Upstream, home: p.home}
		if session := sessionOf(p.request.Parts); session != 0 {
			if len(n.warm) >= maxWarm {
				clear(n.warm)
			}
			n.warm[session] = d.Upstream
		}
	}
	p.answer <- d
}

// reported passes what became of a request to its home.
func (n *Node) reported(now boottime.Time, e reportEvent) {
	r := &report{Kind: e.kind, Seq: e.seq, Outcome: e.outcome, TookMs: millis(e.took)}
	home := (*member)(nil)
	if h := n.held[e.seq]; h != nil {
		r.Service, r.Group = h.key.service, h.key.index
		home = n.homeOf(now, h.group)
		if e.kind == began {
			h.begun = true
		} else {
			delete(n.held, e.seq)
		}
		if h.home != home {
			// The home that sent it must not count it for longer either.
			n.tell(now, h.home, r)
		}
	} else if p := n.pending[e.seq]; p != nil && e.kind == ended {
		r.Service, r.Group = p.key.service, p.key.index
		home = p.home
		delete(n.pending, e.seq)
	} else {
		return
	}
	n.tell(now, home, r)
}

func (n *Node) tell(now boottime.Time, home *member, r *report) {
	if home == nil {
		n.takeReport(now, n.self, r)
		return
	}
	n.send(home.addr, &packet{Report: r})
}

// takeReport takes in a report as the home of the group.
func (n *Node) takeReport(now boottime.Time, from uint64, r *report) {
	if n.feed.Snapshot() == nil {
		return
	}
	key := groupKey{service: r.Service, index: r.Group}
	g := n.group(now, key)
	ticket := dispatch.Ticket{Router: from, Seq: r.Seq}
	at := time.Duration(now)
	switch r.Kind {
	case began:
		n.deliver(now, key, g.core.Started(at, ticket))
	case ended:
		n.deliver(now, key, g.core.Done(at, ticket, r.Outcome, duration(r.TookMs)))
	case holds:
		if r.Held != nil {
			g.core.Held(at, r.Held.request(from), r.Upstream, r.Begun)
		}
	}
}
