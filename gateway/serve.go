package gateway

import (
	"context"
	"errors"
	"net/http"
	"syscall"
	"time"

	"github.com/aspenswitch/aspenswitch/dispatch"
	"github.com/aspenswitch/aspenswitch/headers"
	"github.com/aspenswitch/aspenswitch/obs"
	"github.com/aspenswitch/aspenswitch/registry"
	"github.com/aspenswitch/aspenswitch/retry"
	"github.com/aspenswitch/aspenswitch/routing"
	"github.com/aspenswitch/aspenswitch/upstream"
)

// maxPlaces bounds how often one request is placed: upstreams that can't be
// reached, or that left meanwhile, don't count as attempts.
const maxPlaces = 5

// retryLater is told to callers whose request met upstreams that are full or
// out of reach, of which nothing better is known.
const retryLater = 400 * time.Millisecond

// serve sends the request until an upstream has answered it or nothing more can
// be done. cut is set if an answer has begun and can't be completed.
func (s *Server) serve(w http.ResponseWriter, r *request) (refused *refusal, cut bool) {
	ctx, cancel := context.WithDeadline(r.ctx, r.deadline)
	defer cancel()
	out := newRelay(w, r.route)
	for {
		res := s.attempt(ctx, r, out)
		if res.again && r.places < maxPlaces {
			s.logAttempt(r)
			continue
		}
		if res.refused == nil {
			return nil, false
		}
		if out.started {
			r.record.outcome, r.record.cause = "cut", join(res.refused.code, r.record.cause)
			return nil, true
		}
		return truthful(r, res.refused), false
	}
}

// truthful keeps a refusal from saying that nothing ran when an earlier attempt
// may have: the first upstream broke off, and there was no room for a second.
func truthful(r *request, no *refusal) *refusal {
	if !r.mayHaveRun || no.outcome != retry.NotRun {
		return no
	}
	return unknown(http.StatusBadGateway, "upstream_failed", "an upstream failed and no other could take the request; it may have run")
}

// logAttempt tells why a request goes to another upstream.
func (s *Server) logAttempt(r *request) {
	s.log.Warn("attempt", func(e *obs.Event) {
		e.Str("request", r.id).Str("route", r.record.route).Str("upstream", r.record.upstream).Int("attempts", r.record.attempts).
			Int64("left_ms", time.Until(r.deadline).Milliseconds()).Str("cause", r.record.cause).Msg("going to another upstream")
	})
}

// result of one attempt. refused is nil if the caller has its answer; with
// again set it is what the caller gets if there is no further attempt.
type result struct {
	refused *refusal
	again   bool
}

// attempt places the request, sends it once and passes the answer on.
func (s *Server) attempt(ctx context.Context, r *request, out *relay) result {
	ticket := s.placer.NewTicket()
	at := time.Now()
	d, err := s.placer.Place(ctx, r.service, s.ask(r, ticket))
	r.places++
	r.record.placed += time.Since(at)
	r.record.predicted, r.record.waited, r.record.over = d.Wait, d.Waited, d.Over
	if err != nil {
		return result{refused: s.unplaced(r, err)}
	}
	s.told(r, d)
	if d.Verdict == dispatch.Refuse {
		return result{refused: s.refuse(r, d)}
	}
	if r.places == 1 {
		s.teams.sent(r)
	}
	u, refused := s.mayUse(r, d.Upstream)
	if refused != nil {
		s.placer.Done(r.service, ticket, dispatch.Cancelled, 0)
		return result{refused: refused, again: u}
	}
	return s.send(ctx, r, out, ticket, d)
}

// ask describes the request to the placer.
func (s *Server) ask(r *request, t dispatch.Ticket) dispatch.Request {
	target := r.route.Target
	if target <= 0 {
		target = r.deadline.Sub(r.arrived)
	}
	return dispatch.Request{
		Ticket: t, ID: r.id, Team: r.teamName(), Rank: r.rank(), Prompt: r.prompt, Output: r.output, Parts: r.parts,
		Target: target - time.Since(r.arrived), Left: time.Until(r.deadline), Avoid: r.tried,
	}
}

// unplaced is the answer when placing ended without a decision.
func (s *Server) unplaced(r *request, err error) *refusal {
	r.record.cause = err.Error()
	if errors.Is(context.Cause(r.ctx), errStopping) {
		return notRun("stopping", "this router is stopping; the request was not run", minRetryAfter)
	}
	if len(r.tried) > 0 && !r.route.Repeatable() {
		return noAnswer(r)
	}
	if errors.Is(err, context.Canceled) {
		return notRun("caller_left", "the caller left before its request was sent", 0)
	}
	return notRun("not_placed", "no upstream could take the request in time", retryLater)
}

// noAnswer is for a request that was sent and is given up: its time is over, this
// router's is, or its caller has left and only the log is told.
func noAnswer(r *request) *refusal {
	switch cause := context.Cause(r.ctx); {
	case errors.Is(cause, errStopping):
		return unknown(http.StatusGatewayTimeout, "stopping", "this router is stopping and no answer has come; the request may have run")
	case cause != nil:
		return unknown(http.StatusGatewayTimeout, "caller_left", "the caller left before an answer came; the request may have run")
	}
	return unknown(http.StatusGatewayTimeout, "deadline", "no answer came in time; the request may have run")
}

// refuse tells the caller when to come back.
func (s *Server) refuse(r *request, d dispatch.Decision) *refusal {
	if d.Over {
		s.teams.note(r.teamName(), func(l *TeamLoad) { l.OverShare++ })
		return overShareRefusal(d.RetryAfter)
	}
	if d.Behind {
		s.teams.note(r.teamName(), func(l *TeamLoad) { l.Busy++ })
		return busyRefusal()
	}
	s.teams.note(r.teamName(), func(l *TeamLoad) { l.NoRoom++ })
	return notRun("no_room", "no upstream can answer in time; the request was not run", d.RetryAfter)
}

// mayUse checks, at the moment of sending, that the request's key, route and
// upstream are still in force. The decision may have been waited for, and the
// home that made it may know less than this router.
func (s *Server) mayUse(r *request, id string) (again bool, refused *refusal) {
	state := s.state.Snapshot()
	if refused := s.stillAllowed(r); refused != nil {
		return false, refused
	}
	if s.tooOld() {
		r.record.lag = s.placer.Lag()
		return false, notRun("router_busy", "this router is behind and its view too old to send on", retryLater)
	}
	u := state.View.Upstream(id)
	if u == nil || u.Service != r.service {
		r.tried = append(r.tried, id)
		r.record.cause = "upstream " + id + " has left"
		return true, notRun("upstream_left", "the upstream left before the request was sent", retryLater)
	}
	return false, nil
}

// tooOld reports whether this router is behind and its view too old to act upon.
//
// A flooded router reads what its peers tell it seconds late. It would send to
// upstreams that have left, and deny routes and keys that were added long ago. While
// it is behind it trusts no old view; without that condition an outage of the
// platform would stop all.
func (s *Server) tooOld() bool {
	return s.placer.Lag() > s.cfg.Shed.Lag && s.state.Age() > s.cfg.OldView
}

// stillAllowed checks the key against the newest configuration.
func (s *Server) stillAllowed(r *request) *refusal {
	if r.team == nil {
		return nil
	}
	if !s.state.Authorized() {
		return notRun("stale_view", "this router's view of the keys is too old to decide", time.Second)
	}
	if s.state.Snapshot().Table.Team(r.in.Header.Get(s.cfg.Names.Key)) == nil {
		return bad(http.StatusUnauthorized, "unknown_key", "no team holds this key any more")
	}
	return nil
}

// send sends the request to an upstream and passes the answer on.
func (s *Server) send(ctx context.Context, r *request, out *relay, t dispatch.Ticket, d dispatch.Decision) result {
	id := d.Upstream
	u := s.state.Snapshot().View.Upstream(id)
	if u == nil {
		s.placer.Done(r.service, t, dispatch.Cancelled, 0)
		return result{refused: notRun("upstream_left", "the upstream left before the request was sent", retryLater), again: true}
	}
	s.count(r)
	r.record.upstream = id
	at := time.Now()
	call := s.call(r, out, u)
	if from := s.state.Snapshot().View.Upstream(d.CopyFrom); from != nil {
		call.Header.Set(s.cfg.Names.CopyFrom, from.Address)
		r.record.copyFrom = from.ID
	}
	a, err := s.pool.Do(ctx, call)
	if err != nil {
		return s.sendFailed(ctx, r, t, id, time.Since(at), err)
	}
	defer a.Close()
	if !r.route.Repeatable() {
		// The body won't be sent again, and long answers run for seconds. Letting
		// hundreds of prompts go takes 2.3 MB off the peak of a loaded router (48.6
		// to 46.3 MB, mean of four heavy days).
		r.body, call.Body = nil, nil
	}
	r.tried = append(r.tried, id)
	r.record.attempts++
	res, o := s.answer(ctx, r, out, a, func() {
		r.record.first = time.Since(r.arrived)
		s.placer.Started(r.service, t)
	})
	s.placer.Done(r.service, t, o, time.Since(at))
	return res
}

// count notes the send in the retry budget.
func (s *Server) count(r *request) {
	if len(r.tried) > 0 {
		return // the budget counted it when it allowed the retry
	}
	s.mu.Lock()
	s.budget.First(time.Since(s.start), r.service)
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
	return s.budget.Retry(time.Since(s.start), r.service, s.placer.Routers())
}

// minAttempt is the least time left in which an attempt can be of use.
const minAttempt = 30 * time.Millisecond

// sendFailed decides after a call that got no answer.
func (s *Server) sendFailed(ctx context.Context, r *request, t dispatch.Ticket, id string, took time.Duration, err error) result {
	r.record.cause = err.Error()
	if upstream.NotSent(err) {
		if ctx.Err() != nil {
			s.placer.Done(r.service, t, dispatch.Cancelled, 0)
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
			o = dispatch.Silent
		}
		s.placer.Done(r.service, t, o, took)
		return result{refused: noAnswer(r)}
	}
	s.placer.Done(r.service, t, lostOutcome(err), took)
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
	return result{refused: last, again: r.route.Repeatable() && s.mayRetry(r)}
}

// call is the request as it goes to an upstream.
func (s *Server) call(r *request, out *relay, u *registry.Upstream) *upstream.Call {
	h := r.in.Header.Clone()
	headers.RemoveHopByHop(h)
	n := s.cfg.Names
	for _, name := range n.Private {
		h.Del(name)
	}
	h.Del(n.Key)
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
	return &upstream.Call{
		Address: u.Address, Started: u.Started, Method: r.in.Method, URI: r.in.RequestURI, Host: r.in.Host, Header: h, Body: r.body,
		IDHeader: n.RequestID, ID: r.id, Repeatable: r.route.Kind == routing.Safe || r.route.Repeatable(),
	}
}

// ran notes that the caller has an upstream's answer.
func ran(r *request, status int) {
	r.record.status = status
	r.record.outcome = string(retry.Ran)
}
