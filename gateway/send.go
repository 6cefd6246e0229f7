package gateway

import (
	"context"
	"errors"
	"net/http"
	"syscall"
	"time"

	"github.com/aspenswitch/aspenswitch/dispatch"
	"github.com/aspenswitch/aspenswitch/headers"
	"github.com/aspenswitch/aspenswitch/registry"
	"github.com/aspenswitch/aspenswitch/retry"
	"github.com/aspenswitch/aspenswitch/routing"
	"github.com/aspenswitch/aspenswitch/upstream"
)

// send sends the request to an upstream and relays the response.
func (s *Server) send(ctx context.Context, r *request, out *relay, t dispatch.Ticket, d dispatch.Decision) result {
	id := d.Upstream
	u := s.state.Snapshot().View.Upstream(id)
	if u == nil {
		s.placer.Done(r.service, t, dispatch.NotSent, 0)
		return result{refused: notRun("upstream_left", "the upstream left before the request was sent", defaultRetryAfter), retryable: true}
	}
	if refused := s.refuseOtherVersion(r, u); refused != nil {
		s.placer.Done(r.service, t, dispatch.NotSent, 0)
		return result{refused: refused, retryable: true}
	}
	s.countFirstAttempt(r)
	r.sentVersion = u.Version
	r.record.upstream, r.record.version, r.record.upstreamDomain = id, u.Version, u.FailureDomain
	r.record.upstreamLeaving, r.record.upstreamRetryAfter = false, 0
	sentAt := time.Now()
	r.sentTo, r.sentAt, r.events, r.answerStarted = incarnation(u), sentAt, 0, false
	call := s.newCall(r, out, u)
	if from := s.state.Snapshot().View.Upstream(d.CopyFrom); from != nil && from.Version == u.Version && s.mayCopyFrom(from) {
		call.Header.Set(s.cfg.Headers.CopyFrom, from.Address)
		r.record.copyFrom = from.ID
	}
	a, err := s.pool.Do(ctx, call)
	if err != nil {
		return s.handleSendError(ctx, r, t, id, time.Since(sentAt), err)
	}
	s.pathAnswered()
	defer a.Close()
	load := s.statedLoad(a)
	if !r.route.Repeatable() {
		// The body won't be sent again. Keeping it would hold hundreds of prompts in memory
		// for as long as their responses run; the pool keeps it until it is sent. The content
		// key is computed first, since it is needed if the response is interrupted.
		r.ensureContentKey()
		r.body.release()
		call.Body = nil
	}
	r.tried = append(r.tried, id)
	r.record.attempts++
	res, outcome := s.handleResponse(ctx, r, out, a, func() {
		r.record.firstByte = time.Since(r.arrived)
		s.placer.Started(r.service, t, load.report())
		s.teams.countStarted(r)
	})
	if outcome == dispatch.Served {
		s.runTimes.record(r.route.Name, time.Since(sentAt))
		s.reportSuccess(r)
	}
	s.placer.Done(r.service, t, outcome, time.Since(sentAt))
	return res
}

// countFirstAttempt counts a first attempt in the retry budget.
func (s *Server) countFirstAttempt(r *request) {
	if len(r.tried) > 0 {
		return // a retry was counted when the budget allowed it
	}
	s.mu.Lock()
	s.budget.RecordFirstAttempt(time.Since(s.start), r.service)
	s.mu.Unlock()
}

// mayRetry reports whether the attempt limit, the deadline and the retry budget allow one more
// attempt. If so, it counts the retry in the budget.
func (s *Server) mayRetry(r *request) bool {
	if len(r.tried) >= max(r.route.MaxAttempts, 1) || time.Until(r.deadline) < minAttemptTime {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.budget.TryAcquire(time.Since(s.start), r.service, s.placer.Routers())
}

// minAttemptTime is the minimum time before the deadline for an attempt to be useful.
const minAttemptTime = 30 * time.Millisecond

// handleSendError handles a call that returned no response.
func (s *Server) handleSendError(ctx context.Context, r *request, t dispatch.Ticket, id string, took time.Duration, err error) result {
	r.record.cause = err.Error()
	if upstream.NotSent(err) {
		if ctx.Err() != nil {
			s.placer.Done(r.service, t, dispatch.NotSent, 0)
			return result{refused: s.placementFailed(r, ctx.Err())}
		}
		s.placer.Done(r.service, t, connectErrorOutcome(err), 0)
		r.tried = append(r.tried, id)
		if s.recordConnectError(r.sentAt, id, err) {
			return result{refused: noPath()}
		}
		return result{refused: notRun("unreachable", "the upstream can't be reached; the request was not run", defaultRetryAfter), retryable: true}
	}
	r.tried = append(r.tried, id)
	r.record.attempts++
	if ctx.Err() != nil {
		outcome := dispatch.Cancelled
		if r.ctx.Err() == nil {
			outcome = dispatch.TimedOut
		}
		s.placer.Done(r.service, t, outcome, took)
		return result{refused: noResponse(r)}
	}
	s.placer.Done(r.service, t, brokenConnOutcome(err), took)
	s.reportBrokenConn(r, err)
	return s.failOrRetry(r, nil)
}

// brokenConnOutcome returns the outcome of a connection that broke after the request was sent.
// A reset means that the upstream was still running and may have closed only this connection;
// if the upstream has ended, the next connection is refused.
func brokenConnOutcome(err error) dispatch.Outcome {
	if errors.Is(err, syscall.ETIMEDOUT) {
		return dispatch.Unreachable
	}
	return dispatch.Failed
}

// connectErrorOutcome returns the outcome of a failed connection attempt. It returns
// Cancelled if this process ran out of descriptors, ports or memory: the home would
// otherwise consider a healthy upstream unreachable, and so would every other router.
func connectErrorOutcome(err error) dispatch.Outcome {
	for _, local := range []error{syscall.EMFILE, syscall.ENFILE, syscall.EADDRNOTAVAIL, syscall.ENOBUFS, syscall.ENOMEM} {
		if errors.Is(err, local) {
			return dispatch.Cancelled
		}
	}
	return dispatch.Unreachable
}

// failOrRetry returns the result for an upstream that may have run the request and sent no
// complete response. last, if not nil, is the refusal to send if there is no retry.
func (s *Server) failOrRetry(r *request, last *refusal) result {
	r.mayHaveRun = true
	if last == nil {
		last = unknownOutcome(http.StatusBadGateway, "upstream_failed", "the upstream broke off; the request may have run")
	}
	return result{refused: last, retryable: r.route.Repeatable() && !s.isSuspect(r) && s.mayRetry(r)}
}

// newCall returns the request to send to an upstream, without the caller's API key and the
// headers that callers must not set.
func (s *Server) newCall(r *request, out *relay, u *registry.Upstream) *upstream.Request {
	h := r.in.Header.Clone()
	headers.RemoveHopByHop(h)
	n := s.cfg.Headers
	for _, name := range n.Private {
		h.Del(name)
	}
	h.Del(n.APIKey)
	h.Del(n.Team)
	h.Del("Content-Length")
	h.Del("Expect")
	if r.team != nil {
		h.Set(n.Team, r.team.Name)
	}
	h.Set(n.Upstream, u.ID)
	h.Set(n.Deadline, formatMillis(time.Until(r.deadline)))
	if out.lastID != "" {
		h.Set(lastEventID, out.lastID)
	}
	r.record.resumedAfter = h.Get(lastEventID)
	return &upstream.Request{
		Address: u.Address, Started: u.Started, Method: r.in.Method, URI: r.in.RequestURI, Host: r.in.Host, Header: h, Body: r.body.bytes, BodyDone: r.body.share(),
		IDHeader: n.RequestID, ID: r.id, Repeatable: r.route.Kind == routing.Safe || r.route.Repeatable(),
	}
}

// recordRan records that the caller received an upstream's response.
func recordRan(r *request, status int) {
	r.record.status = status
	r.record.outcome = string(retry.Ran)
}
