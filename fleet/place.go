package fleet

import (
	"context"
	"slices"
	"time"

	"github.com/aspenswitch/aspenswitch/boottime"
	"github.com/aspenswitch/aspenswitch/dispatch"
	"github.com/aspenswitch/aspenswitch/feed"
	"github.com/aspenswitch/aspenswitch/registry"
)

// pending is a request of this router that is waiting for a decision.
type pending struct {
	request dispatch.Request
	key     groupKey
	group   *group
	answer  chan dispatch.Decision
	// home is the router that was asked last, nil for this one; homesAsked counts the homes
	// that were asked.
	home       *member
	homesAsked int
	startedAt  boottime.Time
	// askedAt is when the request was first sent to the home, or first sent again after the home had
	// queued it.
	askedAt   boottime.Time
	retryAt   boottime.Time
	timeoutAt boottime.Time
	// queuedByHome is set if the home has replied that it queued the request, until the
	// request is sent to it again.
	queuedByHome bool
}

// inFlightRequest is a request of this router that has been sent to an upstream.
type inFlightRequest struct {
	request         dispatch.Request
	key             groupKey
	group           *group
	upstream        dispatch.Incarnation
	responseStarted bool
	// home is the router that placed the request, nil for this one.
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
func (n *Node) Started(_ string, t dispatch.Ticket, load dispatch.LoadReport) {
	n.post(reportEvent{kind: reportStarted, seq: t.Seq, load: load})
}

// Done implements gateway.Placer.
func (n *Node) Done(_ string, t dispatch.Ticket, o dispatch.Outcome, took time.Duration) {
	n.post(reportEvent{kind: reportEnded, seq: t.Seq, outcome: o, took: took})
}

// Group implements gateway.Placer. It returns the index of the group whose home decides on a
// request.
func (n *Node) Group(service string, r dispatch.Request) int {
	s := n.feed.Snapshot()
	if s == nil {
		return 0
	}
	return n.groupOfRequest(s, service, &r)
}

// groupOfRequest returns the index of the group that decides on a request.
func (n *Node) groupOfRequest(s *feed.Snapshot, service string, r *dispatch.Request) int {
	ready := s.View.Ready(service)
	count := n.groupCounts.update(service, len(ready))
	index := n.groupIndex(s, service, count, r.Parts, r.Ticket.Seq)
	if r.Version == "" {
		return index
	}
	return groupWithVersion(ready, r, count, index)
}

// groupWithVersion returns the first group from index on that has an upstream at which a broken
// stream can go on, or index if none has. Groups are made regardless of versions, so a group may
// have none of the one that began the stream.
func groupWithVersion(ready []*registry.Upstream, r *dispatch.Request, count, index int) int {
	nearest := count
	for _, u := range ready {
		if u.Version != r.Version || slices.Contains(r.Avoid, u.ID) {
			continue
		}
		distance := (groupOfUpstream(u.ID, count) - index + count) % count
		nearest = min(nearest, distance)
	}
	return (index + nearest) % count
}

// maxSessions limits the sessions whose upstreams are recorded. All are dropped once the
// limit is reached.
const maxSessions = 4096

// place starts the placement of a request of this router.
func (n *Node) place(now boottime.Time, e placeEvent) {
	s := n.feed.Snapshot()
	if s == nil {
		e.answer <- dispatch.Decision{Verdict: dispatch.Refuse, RetryAfter: time.Second}
		return
	}
	key := groupKey{service: e.service, index: n.groupOfRequest(s, e.service, &e.request)}
	g := n.group(now, key)
	if g == nil {
		e.answer <- dispatch.Decision{Verdict: dispatch.Refuse, RetryAfter: time.Second}
		return
	}
	e.request.CacheHint, e.request.Domain = n.sessionUpstream(s, e.request.Parts), n.cfg.Domain
	p := &pending{request: e.request, key: key, group: g, answer: e.answer, startedAt: now, askedAt: now}
	n.pending[e.request.Ticket.Seq] = p
	p.timeoutAt = now.Add(n.cfg.PlacementTimeout)
	n.requestPlacement(now, p)
}

// sessionUpstream returns the upstream to which the session's last request was sent, or ""
// if there is none or it has restarted since.
func (n *Node) sessionUpstream(s *feed.Snapshot, parts []dispatch.Part) string {
	last, found := n.sessionUpstreams[sessionID(parts)]
	if !found {
		return ""
	}
	u := s.View.Upstream(last.ID)
	if u == nil || !incarnation(u).Same(last) {
		return ""
	}
	return u.ID
}

// incarnationOf returns the incarnation of an upstream in this router's state.
func (n *Node) incarnationOf(id string) dispatch.Incarnation {
	if s := n.feed.Snapshot(); s != nil {
		if u := s.View.Upstream(id); u != nil {
			return incarnation(u)
		}
	}
	return dispatch.Incarnation{ID: id}
}

// adoptPeerCount adopts the number of groups from a peer's group number.
func (n *Node) adoptPeerCount(service string, peerNumber groupNumber) {
	if s := n.feed.Snapshot(); s != nil && s.Table.Service(service) != nil {
		n.groupCounts.adopt(service, peerNumber.count(), len(s.View.Ready(service)))
	}
}

// groupNumberOf returns the encoded number of a group, 0 if there is no state.
func (n *Node) groupNumberOf(key groupKey) groupNumber {
	s := n.feed.Snapshot()
	if s == nil {
		return 0
	}
	return newGroupNumber(key.index, n.groupCounts.update(key.service, len(s.View.Ready(key.service))))
}

// handlePlaceReply applies a home's decision. If the request is no longer waiting, or another
// home has decided on it, the decision is cancelled: otherwise the home would treat an idle
// upstream as busy.
func (n *Node) handlePlaceReply(now boottime.Time, from *member, r *placeReply) {
	n.adoptPeerCount(r.Service, r.Group)
	p, h := n.pending[r.Seq], n.inFlight[r.Seq]
	stale := p == nil && (h == nil || h.home != from) || p != nil && p.home != from
	if stale {
		if r.Verdict == dispatch.Send && from != nil {
			n.cancelPlacement(from, groupKey{service: r.Service, index: r.Group.index()}, r.Seq)
		}
		return
	}
	d := dispatch.Decision{
		Ticket: dispatch.Ticket{Router: n.self, Seq: r.Seq}, Verdict: r.Verdict, Upstream: r.Upstream, CopyFrom: r.CopyFrom,
		RetryAfter: duration(r.RetryAfterMs), PredictedFirstByte: duration(r.PredictedFirstByteMs), SinceFirstAttempt: duration(r.SinceFirstAttemptMs), OverShare: r.OverShare, Warming: r.Warming,
		Allowance: validAllowance(r.Allowance),
	}
	decodeHandOver(&d)
	n.applyDecision(now, d)
}

// validAllowance returns an allowance received from a peer, 0 (none given) if it is invalid.
func validAllowance(received float32) float64 {
	if rate := float64(received); rate > 0 {
		return rate
	}
	return 0
}

// applyDecision passes a decision to the request that is waiting for it. If the home has
// queued the request, it schedules the next retry.
func (n *Node) applyDecision(now boottime.Time, d dispatch.Decision) {
	p := n.pending[d.Ticket.Seq]
	if p == nil {
		return
	}
	if d.Verdict == dispatch.Wait {
		p.queuedByHome = true
		p.retryAt = now.Add(max(queuedRetryInterval, d.PredictedFirstByte+fastTick))
		return
	}
	if n.handOver(now, p, d) {
		return
	}
	delete(n.pending, d.Ticket.Seq)
	d.Group = p.key.index
	if d.Verdict == dispatch.Send {
		upstream := n.incarnationOf(d.Upstream)
		n.inFlight[d.Ticket.Seq] = &inFlightRequest{request: p.request, key: p.key, group: p.group, upstream: upstream, home: p.home}
		if session := sessionID(p.request.Parts); session != 0 {
			if len(n.sessionUpstreams) >= maxSessions {
				clear(n.sessionUpstreams)
			}
			n.sessionUpstreams[session] = upstream
		}
	}
	p.answer <- d
}

// forwardReport sends the progress of a request to its home.
func (n *Node) forwardReport(now boottime.Time, e reportEvent) {
	r := &report{Kind: e.kind, Seq: e.seq, Outcome: e.outcome, DurationMs: millis(e.took)}
	home := (*member)(nil)
	if h := n.inFlight[e.seq]; h != nil {
		r.Service, r.Group = h.key.service, h.key.index
		home = n.homeOf(now, h.group)
		if e.kind == reportStarted {
			h.responseStarted = true
			r.Started = n.packLoad(e.load)
		} else {
			delete(n.inFlight, e.seq)
		}
		if h.home != home {
			// The home that placed the request must stop counting it, too.
			n.sendReport(now, h.home, r)
		}
	} else if p := n.pending[e.seq]; p != nil && e.kind == reportEnded {
		r.Service, r.Group = p.key.service, p.key.index
		home = p.home
		delete(n.pending, e.seq)
	} else {
		return
	}
	n.sendReport(now, home, r)
}

func (n *Node) sendReport(now boottime.Time, home *member, r *report) {
	if home == nil {
		n.handleReport(now, n.self, r)
		return
	}
	n.send(home.addr, &packet{Report: r})
}
