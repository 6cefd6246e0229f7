package fleet

import (
	"time"

	"github.com/aspenswitch/aspenswitch/boottime"
	"github.com/aspenswitch/aspenswitch/dispatch"
	"github.com/aspenswitch/aspenswitch/obs"
)

// sessionID returns the ID of the second-to-last part of a prompt, which identifies the
// session: the last part belongs to this request alone. It returns 0 if there are fewer than
// two parts.
func sessionID(parts []dispatch.Part) uint64 {
	if len(parts) < 2 {
		return 0
	}
	return parts[len(parts)-2].ID
}

// requestPlacement asks the home of the group, which may be this router, for a decision.
func (n *Node) requestPlacement(now boottime.Time, p *pending) {
	p.home = n.homeOf(now, p.group)
	p.homesAsked++
	p.retryAt = now.Add(n.cfg.PlacementRetryInterval)
	if p.home == nil {
		n.deliver(now, p.key, p.group.core.Submit(time.Duration(now), p.request))
		return
	}
	n.send(p.home.addr, &packet{Ask: n.newPlaceRequest(p.key, p.request)})
}

// queuedRetryInterval is the time after which a placement request that the home has queued is
// sent again, because the decision may have been lost.
const queuedRetryInterval = 250 * time.Millisecond

// retryPlacements sends unanswered placement requests again and handles their timeouts, so
// that no request waits for a home that has ended.
func (n *Node) retryPlacements(now boottime.Time) {
	for _, p := range n.pending {
		if p.home == nil {
			continue
		}
		if p.queuedByHome && !n.responding(p.home) {
			p.retryAt = now
		}
		if !p.queuedByHome && now >= p.timeoutAt {
			n.handleTimeout(now, p)
			continue
		}
		if now >= p.retryAt {
			p.retryAt = now.Add(max(n.cfg.PlacementRetryInterval, 2*n.Lag()))
			if p.queuedByHome {
				p.retryAt = now.Add(queuedRetryInterval)
				p.queuedByHome = false
				p.askedAt, p.timeoutAt = now, now.Add(n.cfg.PlacementTimeout)
			}
			n.send(p.home.addr, &packet{Ask: n.newPlaceRequest(p.key, p.request)})
		}
	}
}

// refuseOnStaleState refuses the waiting requests of teams once this router's state is too old to
// accept their keys. They would be refused when they are sent.
func (n *Node) refuseOnStaleState(now boottime.Time) {
	if len(n.pending) == 0 || n.feed.Fresh() {
		return
	}
	for seq, p := range n.pending {
		if p.request.Team == "" {
			continue
		}
		n.sendReport(now, p.home, &report{Kind: reportEnded, Seq: seq, Service: p.key.service, Group: p.key.index, Outcome: dispatch.NotSent})
		n.applyDecision(now, dispatch.Decision{Ticket: p.request.Ticket, Verdict: dispatch.Refuse, StaleState: true})
	}
}

// responding reports whether a home has answered other requests and sent its heartbeats. A request
// that it has queued would otherwise wait until the predicted time of its decision.
func (n *Node) responding(home *member) bool {
	return n.members[home.id] == home && !home.unresponsive && !home.silent
}

const (
	// lateReadTimeout is how long a router that is late with reading waits for a reply.
	// In a longer time, another router could have served the caller.
	lateReadTimeout = 400 * time.Millisecond
	// maxHomesPerRequest is the number of homes that are asked to place one request: the
	// first one and its successor.
	maxHomesPerRequest = 2
	// isolationTimeout is the time without contact to any peer after which this router
	// counts as isolated. Each member sends several datagrams per second.
	isolationTimeout = 300 * time.Millisecond
)

// handleTimeout handles a placement request whose home hasn't answered in time.
//
// If each router decided by itself, or asked a second home while the first one still
// decides, upstreams would be overloaded and teams charged twice. A home therefore counts
// as unresponsive only once this router has read all datagrams that had arrived when the
// reply was due. A router that is late with reading waits for that, or refuses the request
// so that its caller tries another router. Otherwise it asks the successor of the home. It
// decides by itself only if maxHomesPerRequest homes haven't answered, or if it receives
// nothing from any peer.
func (n *Node) handleTimeout(now boottime.Time, p *pending) {
	switch {
	case n.lagProbe.readUntil >= p.timeoutAt:
		n.failOver(now, p)
	case now.Sub(p.askedAt) < lateReadTimeout:
		n.sendLagProbe(now)
	default:
		n.cancelPlacement(p.home, p.key, p.request.Ticket.Seq)
		n.applyDecision(now, dispatch.Decision{Ticket: p.request.Ticket, Verdict: dispatch.Refuse, RouterOverloaded: true})
	}
}

// failOver asks the next home of a request's group. The previous home may still receive the
// placement request late, so the request is cancelled there: otherwise the home would
// reserve capacity for it until the request's deadline.
func (n *Node) failOver(now boottime.Time, p *pending) {
	failed := p.home
	failed.unresponsive = true
	n.limited.Warn("home_silent", func(e *obs.Event) {
		e.Str("group", p.group.name).Uint64("router", failed.id).Dur("after", now.Sub(p.startedAt)).Msg("home did not answer a placement request in time")
	})
	n.cancelPlacement(failed, p.key, p.request.Ticket.Seq)
	p.deductQueueTime()
	if p.homesAsked < maxHomesPerRequest && now.Sub(n.lastPeerContact) < isolationTimeout {
		p.timeoutAt = now.Add(n.cfg.PlacementTimeout)
		n.requestPlacement(now, p)
		return
	}
	p.home = nil
	n.deliver(now, p.key, p.group.core.Submit(time.Duration(now), p.request))
}

// deductQueueTime reduces the time left of a request by the time for which a home had queued it: the
// next home counts from when it is asked.
func (p *pending) deductQueueTime() {
	waited := p.askedAt.Sub(p.startedAt)
	p.request.Target -= waited
	p.request.Timeout -= waited
	p.startedAt = p.askedAt
}

// cancelPlacement cancels a request at a home, so that the home releases the capacity that
// is reserved for it.
func (n *Node) cancelPlacement(home *member, key groupKey, seq uint64) {
	n.send(home.addr, &packet{Report: &report{
		Kind: reportEnded, Seq: seq, Service: key.service, Group: key.index, Outcome: dispatch.NotSent,
	}})
}

func (n *Node) newPlaceRequest(key groupKey, r dispatch.Request) *placeRequest {
	req := &placeRequest{Version: r.Version, placeRequestFields: placeRequestFields{
		Seq: r.Ticket.Seq, ID: r.ID, Service: key.service, Group: n.groupNumberOf(key), Team: r.Team, Priority: r.Priority,
		Prompt: r.Prompt, Output: r.Output, TargetMs: millis(r.Target), TimeoutMs: millis(r.Timeout),
		CacheHint: r.CacheHint, Avoid: r.Avoid, Regions: r.Regions,
	}}
	for _, p := range r.Parts {
		req.Parts = append(req.Parts, part{ID: p.ID, Tokens: p.Tokens})
	}
	return req
}

// toDispatch returns the request as the home of a group decides on it. router and domain are those
// of the router that received it from its caller.
func (req *placeRequest) toDispatch(router uint64, domain string) dispatch.Request {
	r := dispatch.Request{
		Ticket: dispatch.Ticket{Router: router, Seq: req.Seq}, ID: req.ID, Team: req.Team, Priority: req.Priority, Domain: domain,
		Prompt: req.Prompt, Output: req.Output, Target: duration(req.TargetMs), Timeout: duration(req.TimeoutMs),
		CacheHint: req.CacheHint, Avoid: req.Avoid, Regions: req.Regions, Version: req.Version,
	}
	for _, p := range req.Parts {
		r.Parts = append(r.Parts, dispatch.Part{ID: p.ID, Tokens: p.Tokens})
	}
	return r
}

func millis(d time.Duration) int32 { return int32(d.Milliseconds()) }

func duration(ms int32) time.Duration { return time.Duration(ms) * time.Millisecond }
