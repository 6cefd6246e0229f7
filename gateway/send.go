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

// send sends the request to an upstream and passes the answer on.
func (s *Server) send(ctx context.Context, r *request, out *relay, t dispatch.Ticket, d dispatch.Decision) result {
	id := d.Upstream
	u := s.state.Snapshot().View.Upstream(id)
	if u == nil {
		s.placer.Done(r.service, t, dispatch.NotSent, 0)
		return result{refused: notRun("upstream_left", "the upstream left before the request was sent", retryLater), again: true}
	}
	s.count(r)
	r.record.upstream = id
	r.record.upstreamLeaving, r.record.upstreamRetryAfter = false, 0
	at := time.Now()
	r.sentTo, r.sentAt = incarnation(u), at
	call := s.call(r, out, u)
	if from := s.state.Snapshot().View.Upstream(d.CopyFrom); from != nil && s.mayCopyFrom(from) {
		call.Header.Set(s.cfg.Headers.CopyFrom, from.Address)
		r.record.copyFrom = from.ID
	}
	a, err := s.pool.Do(ctx, call)
	if err != nil {
		return s.sendFailed(ctx, r, t, id, time.Since(at), err)
	}
	defer a.Close()
	if !r.route.Repeatable() {
		// The body won't be sent again, and hundreds of prompts would be held for as
		// long as their answers run. The content ID is computed first, since it is needed if
		// the answer breaks off.
		r.ensureContentID()
		r.body, call.Body = nil, nil
	}
	r.tried = append(r.tried, id)
	r.record.attempts++
	res, o := s.answer(ctx, r, out, a, func() {
		r.record.first = time.Since(r.arrived)
		s.placer.Started(r.service, t)
		s.teams.begun(r)
	})
	if o == dispatch.Served {
		s.noteSuccess(r)
	}
	s.placer.Done(r.service, t, o, time.Since(at))
	return res
}

// count notes the send in the retry budget.
func (s *Server) count(r *request) {
	if len(r.tried) > 0 {
		return // the budget counted it when it allowed the retry
	}
	s.mu.Lock()
	s.budget.RecordFirstAttempt(time.Since(s.start), r.service)
	s.mu.Unlock()
}

// mayRetry reports whether the request may go to one more upstream after one
// that it was sent to.
func (s *Server) mayRetry(r *request) bool {
	if len(r.tried) >= max(r.route.MaxAttempts, 1) || time.Until(r.deadline) < minAttempt {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.budget.TryAcquire(time.Since(s.start), r.service, s.placer.Routers())
}

// minAttempt is the least time left in which an attempt can be of use.
const minAttempt = 30 * time.Millisecond

// sendFailed decides after a call that got no answer.
func (s *Server) sendFailed(ctx context.Context, r *request, t dispatch.Ticket, id string, took time.Duration, err error) result {
	r.record.cause = err.Error()
	if upstream.NotSent(err) {
		if ctx.Err() != nil {
			s.placer.Done(r.service, t, dispatch.NotSent, 0)
			return result{refused: s.unplaced(r, ctx.Err())}
		}
		s.placer.Done(r.service, t, unsentOutcome(err), 0)
		r.tried = append(r.tried, id)
		return result{refused: notRun("unreachable", "the upstream can't be reached; the request was not run", retryLater), again: true}
	}
	r.tried = append(r.tried, id)
	r.record.attempts++
	if ctx.Err() != nil {
		o := dispatch.Cancelled
		if r.ctx.Err() == nil {
			o = dispatch.TimedOut
		}
		s.placer.Done(r.service, t, o, took)
		return result{refused: noAnswer(r)}
	}
	s.placer.Done(r.service, t, lostOutcome(err), took)
	s.noteBrokenConnection(r, err)
	return s.broken(r, nil)
}

// lostOutcome is what a connection that broke after sending says of the upstream.
// One that was reset had an upstream at its end, which may have dropped just this
// connection; if it is gone, the next one is refused.
func lostOutcome(err error) dispatch.Outcome {
	if errors.Is(err, syscall.ETIMEDOUT) {
		return dispatch.Unreachable
	}
	return dispatch.Failed
}

// unsentOutcome is what a failed connection says of the upstream: nothing if it
// was this process that had no descriptor or port left. The home would else take
// a good upstream for dead, and with it every other router.
func unsentOutcome(err error) dispatch.Outcome {
	for _, own := range []error{syscall.EMFILE, syscall.ENFILE, syscall.EADDRNOTAVAIL, syscall.ENOBUFS, syscall.ENOMEM} {
		if errors.Is(err, own) {
			return dispatch.Cancelled
		}
	}
	return dispatch.Unreachable
}

// broken decides after an upstream that may have run the request and gave no
// whole answer. last, if given, is what the caller gets without a retry.
func (s *Server) broken(r *request, last *refusal) result {
	r.mayHaveRun = true
	if last == nil {
		last = unknown(http.StatusBadGateway, "upstream_failed", "the upstream broke off; the request may have run")
	}
	return result{refused: last, again: r.route.Repeatable() && !s.isSuspect(r) && s.mayRetry(r)}
}

// call is the request as it goes to an upstream.
func (s *Server) call(r *request, out *relay, u *registry.Upstream) *upstream.Request {
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
		h.Set("Last-Event-Id", out.lastID)
	}
	return &upstream.Request{
		Address: u.Address, Started: u.Started, Method: r.in.Method, URI: r.in.RequestURI, Host: r.in.Host, Header: h, Body: r.body,
		IDHeader: n.RequestID, ID: r.id, Repeatable: r.route.Kind == routing.Safe || r.route.Repeatable(),
	}
}

// ran notes that the caller has an upstream's answer.
func ran(r *request, status int) {
	r.record.status = status
	r.record.outcome = string(retry.Ran)
}
