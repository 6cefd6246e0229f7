package fleet

import (
	"context"
	"time"

	"github.com/aspenswitch/aspenswitch/boottime"
	"github.com/aspenswitch/aspenswitch/dispatch"
	"github.com/aspenswitch/aspenswitch/feed"
)

// pending is a request of this router that waits for a decision.
type pending struct {
	request dispatch.Request
	key     groupKey
	group   *group
	answer  chan dispatch.Decision
	// home is the router that was asked, nil for this one; homes counts them.
	home  *member
	homes int
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
	upstream dispatch.Incarnation
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
		n.Done(service, r.Ticket, dispatch.NotSent, 0)
		return dispatch.Decision{}, ctx.Err()
	}
}

// Started implements gateway.Placer.
func (n *Node) Started(_ string, t dispatch.Ticket) {
	n.post(reportEvent{kind: began, seq: t.Seq})
}

// Done implements gateway.Placer.
func (n *Node) Done(_ string, t dispatch.Ticket, o dispatch.Outcome, took time.Duration) {
	n.post(reportEvent{kind: ended, seq: t.Seq, outcome: o, took: took})
}

// Group implements gateway.Placer: the part of a service's upstreams whose home decides
// on a request.
func (n *Node) Group(service string, r dispatch.Request) int {
	s := n.feed.Snapshot()
	if s == nil {
		return 0
	}
	return n.groupOf(s, service, &r)
}

// groupOf is the part of a service's upstreams that a request goes to.
func (n *Node) groupOf(s *feed.Snapshot, service string, r *dispatch.Request) int {
	count := n.counts.of(service, len(s.View.Ready(service)))
	return n.pickGroup(service, count, r.Parts, r.Ticket.Seq)
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
	key := groupKey{service: e.service, index: n.groupOf(s, e.service, &e.request)}
	g := n.group(now, key)
	if g == nil {
		e.answer <- dispatch.Decision{Verdict: dispatch.Refuse, RetryAfter: time.Second}
		return
	}
	e.request.CacheHint = n.warmFor(s, e.request.Parts)
	p := &pending{request: e.request, key: key, group: g, answer: e.answer, asked: now}
	n.pending[e.request.Ticket.Seq] = p
	p.local = now.Add(n.cfg.AskLocal)
	n.ask(now, p)
}

// warmFor is the upstream to which the session was last sent, if it hasn't started
// again since.
func (n *Node) warmFor(s *feed.Snapshot, parts []dispatch.Part) string {
	last, found := n.warm[sessionOf(parts)]
	if !found {
		return ""
	}
	u := s.View.Upstream(last.ID)
	if u == nil || !incarnation(u).Same(last) {
		return ""
	}
	return u.ID
}

// incarnationOf is the present start of an upstream, as far as this router knows.
func (n *Node) incarnationOf(id string) dispatch.Incarnation {
	if s := n.feed.Snapshot(); s != nil {
		if u := s.View.Upstream(id); u != nil {
			return incarnation(u)
		}
	}
	return dispatch.Incarnation{ID: id}
}

// toldGroups takes in into how many groups a peer divides a service's upstreams.
func (n *Node) toldGroups(service string, number groupNumber) {
	if s := n.feed.Snapshot(); s != nil && s.Table.Service(service) != nil {
		n.counts.told(service, number.count(), len(s.View.Ready(service)))
	}
}

// numberOf is a group's number on the wire.
func (n *Node) numberOf(key groupKey) groupNumber {
	s := n.feed.Snapshot()
	if s == nil {
		return 0
	}
	return numberOf(key.index, n.counts.of(key.service, len(s.View.Ready(key.service))))
}

// replied takes in a home's decision. One for a request that is not waiting, or
// that was decided elsewhere, is given back: else the home would take an idle
// upstream for busy.
func (n *Node) replied(now boottime.Time, from *member, r *reply) {
	n.toldGroups(r.Service, r.Group)
	p, h := n.pending[r.Seq], n.held[r.Seq]
	stale := p == nil && (h == nil || h.home != from) || p != nil && p.home != from
	if stale {
		if r.Verdict == dispatch.Send && from != nil {
			n.cancelAt(from, groupKey{service: r.Service, index: r.Group.index()}, r.Seq)
		}
		return
	}
	n.decided(now, dispatch.Decision{
		Ticket: dispatch.Ticket{Router: n.self, Seq: r.Seq}, Verdict: r.Verdict, Upstream: r.Upstream, CopyFrom: r.CopyFrom,
		RetryAfter: duration(r.RetryMs), PredictedFirstByte: duration(r.WaitMs), SinceFirstAttempt: duration(r.WaitedMs), OverShare: r.Over, Warming: r.Warming,
		Allowance: allowance(r.Allowance),
	})
}

// allowance is what a peer told. A number that can't be one tells nothing.
func allowance(told float32) float64 {
	if rate := float64(told); rate > 0 {
		return rate
	}
	return 0
}

// decided passes a decision to the request that waits for it.
func (n *Node) decided(now boottime.Time, d dispatch.Decision) {
	p := n.pending[d.Ticket.Seq]
	if p == nil {
		return
	}
	if d.Verdict == dispatch.Wait {
		p.acked = true
		p.again = now.Add(max(confirmEvery, d.PredictedFirstByte+fastTick))
		return
	}
	delete(n.pending, d.Ticket.Seq)
	d.Group = p.key.index
	if d.Verdict == dispatch.Send {
		at := n.incarnationOf(d.Upstream)
		n.held[d.Ticket.Seq] = &heldRequest{request: p.request, key: p.key, group: p.group, upstream: at, home: p.home}
		if session := sessionOf(p.request.Parts); session != 0 {
			if len(n.warm) >= maxWarm {
				clear(n.warm)
			}
			n.warm[session] = at
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
