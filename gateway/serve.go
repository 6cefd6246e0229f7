package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/aspenswitch/aspenswitch/boottime"
	"github.com/aspenswitch/aspenswitch/dispatch"
	"github.com/aspenswitch/aspenswitch/obs"
	"github.com/aspenswitch/aspenswitch/retry"
	"github.com/aspenswitch/aspenswitch/warmup"
)

// maxPlacements limits the placements of one request. Upstreams that can't be reached or
// that were removed in the meantime don't count as attempts, but do count here.
const maxPlacements = 5

// defaultRetryAfter is the Retry-After delay for callers whose request found only full or
// unreachable upstreams, if no better estimate is available.
const defaultRetryAfter = 400 * time.Millisecond

// serve attempts the request until an upstream has responded or no further attempt is
// allowed. truncated is set if a response has started and can't be completed.
func (s *Server) serve(w http.ResponseWriter, r *request) (refused *refusal, truncated bool) {
	ctx, cancel := context.WithDeadline(r.ctx, r.deadline)
	defer cancel()
	out := newRelay(w, r.route)
	if out.resumable {
		out.onStart = func() { s.streamBegan(r) }
		if s.continuesStream(r) {
			if refused := s.findVersion(ctx, r); refused != nil {
				return refused, false
			}
		} else {
			s.streamAges.observe(time.Since(s.start), r.route.Name, r.statedDeadline)
		}
	}
	for {
		res := s.attempt(ctx, r, out)
		if res.retryable && r.placements < maxPlacements {
			s.logRetry(r, out.started)
			continue
		}
		if res.refused == nil {
			return nil, false
		}
		if out.started {
			r.record.outcome, r.record.cause = "cut", joinCause(res.refused.code, r.record.cause)
			return nil, true
		}
		return correctOutcome(r, res.refused), false
	}
}

// correctOutcome changes the outcome not-run of a refusal to unknown if an earlier attempt may
// have run, for example if the first upstream closed the connection and no second one had
// capacity.
func correctOutcome(r *request, refused *refusal) *refusal {
	if !r.mayHaveRun || refused.outcome != retry.NotRun {
		return refused
	}
	return unknownOutcome(http.StatusBadGateway, "upstream_failed", "an upstream failed and no other could take the request; it may have run")
}

// logRetry logs why a request is retried at another upstream. began is set if the caller already has
// a part of the response.
func (s *Server) logRetry(r *request, began bool) {
	s.log.Warn("attempt", func(e *obs.Event) {
		e.Str("request", r.id).Str("route", r.record.route).Str("upstream", r.record.upstream).Str("version", r.record.version).Bool("stream_began", began).Int("attempts", r.record.attempts).
			Int64("left_ms", time.Until(r.deadline).Milliseconds()).Str("cause", r.record.cause).
			Bool("upstream_leaving", r.record.upstreamLeaving).Int64("upstream_rest_ms", r.record.upstreamRetryAfter.Milliseconds()).Msg("retrying at another upstream")
	})
}

// result is the result of one attempt. refused is nil if the response was relayed to the
// caller. If retryable is set, refused is sent only if there is no further attempt.
type result struct {
	refused   *refusal
	retryable bool
}

// attempt places the request, sends it once and relays the response.
func (s *Server) attempt(ctx context.Context, r *request, out *relay) result {
	if refused := s.refuseUnservableVersion(r); refused != nil {
		return result{refused: refused}
	}
	if refused := s.refuseWithoutPath(); refused != nil {
		return result{refused: refused}
	}
	avoid, refused := s.avoid(r)
	if refused != nil {
		return result{refused: refused}
	}
	ticket := s.placer.NewTicket()
	started, requestedAt := time.Now(), boottime.Now()
	placement, endPlacement := s.placementContext(ctx, r)
	d, err := s.placer.Place(placement, r.service, s.placementRequest(r, ticket, avoid))
	tooLate := errors.Is(context.Cause(placement), errTooLateToBegin)
	endPlacement()
	r.placements++
	r.record.placementTime += time.Since(started)
	r.record.predictedFirstByte, r.record.sinceFirstAttempt, r.record.overShare = d.PredictedFirstByte, d.SinceFirstAttempt, d.OverShare
	if err != nil && tooLate {
		r.record.cause = errTooLateToBegin.Error()
		s.stats.unfinishable.Inc(1)
		return result{refused: stoppingRefusal(r)}
	}
	if err != nil {
		return result{refused: s.placementFailed(r, err)}
	}
	s.recordAllowance(r, d)
	if d.Verdict == dispatch.Refuse {
		return result{refused: s.placementRefused(r, d)}
	}
	if r.placements == 1 {
		s.teams.countSent(r)
	}
	retryable, refused := s.checkBeforeSend(r, d.Upstream)
	if refused == nil && !out.started {
		refused = s.refuseUnfinishable(r)
	}
	if refused != nil {
		s.placer.Done(r.service, ticket, dispatch.NotSent, 0)
		return result{refused: refused, retryable: retryable}
	}
	if d.Warming && boottime.Now().Sub(requestedAt) > warmup.GrantTTL {
		s.stats.withheld[withheldWarming].Inc(1)
		s.placer.Done(r.service, ticket, dispatch.NotSent, 0)
		r.record.cause = "decision to send to warming upstream " + d.Upstream + " is too old"
		return result{refused: notRun("upstream_warming", "the upstream is warming up; the request was not run", defaultRetryAfter), retryable: true}
	}
	return s.send(ctx, r, out, ticket, d)
}

// placementRequest returns the request's description for the placer. The target counts from the time
// at which the request was complete: a request whose body takes longer than the target isn't late when
// it can first be served. The target of a broken stream counts from now, like that of a new one: its first byte was due long ago, and a home refuses
// requests that are late.
func (s *Server) placementRequest(r *request, t dispatch.Ticket, avoid []string) dispatch.Request {
	target := r.route.Target
	if target <= 0 {
		target = r.deadline.Sub(r.arrived)
	}
	if !r.began {
		target -= time.Since(r.complete)
	}
	return dispatch.Request{
		Ticket: t, ID: r.id, Team: r.teamName(), Priority: r.priority(), Prompt: r.promptTokens, Output: r.outputTokens, Parts: r.parts,
		Target: target, Timeout: time.Until(r.deadline), Avoid: avoid, Regions: r.regions, Version: r.version,
	}
}
