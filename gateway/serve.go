package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/aspenswitch/aspenswitch/boottime"
	"github.com/aspenswitch/aspenswitch/dispatch"
	"github.com/aspenswitch/aspenswitch/obs"
	"github.com/aspenswitch/aspenswitch/retry"
	"github.com/aspenswitch/aspenswitch/warmup"
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
			Int64("left_ms", time.Until(r.deadline).Milliseconds()).Str("cause", r.record.cause).
			Bool("upstream_leaving", r.record.upstreamLeaving).Int64("upstream_rest_ms", r.record.upstreamRetryAfter.Milliseconds()).Msg("going to another upstream")
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
	avoid, refused := s.avoid(r)
	if refused != nil {
		return result{refused: refused}
	}
	ticket := s.placer.NewTicket()
	at, asked := time.Now(), boottime.Now()
	d, err := s.placer.Place(ctx, r.service, s.ask(r, ticket, avoid))
	r.places++
	r.record.placed += time.Since(at)
	r.record.predicted, r.record.waited, r.record.over = d.PredictedFirstByte, d.SinceFirstAttempt, d.OverShare
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
		s.placer.Done(r.service, ticket, dispatch.NotSent, 0)
		return result{refused: refused, again: u}
	}
	if d.Warming && boottime.Now().Sub(asked) > warmup.GrantTTL {
		s.stats.withheld[withheldWarming].Inc(1)
		s.placer.Done(r.service, ticket, dispatch.NotSent, 0)
		r.record.cause = "decision to send to warming upstream " + d.Upstream + " is too old"
		return result{refused: notRun("upstream_warming", "the upstream is warming up; the request was not run", retryLater), again: true}
	}
	return s.send(ctx, r, out, ticket, d)
}

// ask describes the request to the placer.
func (s *Server) ask(r *request, t dispatch.Ticket, avoid []string) dispatch.Request {
	target := r.route.Target
	if target <= 0 {
		target = r.deadline.Sub(r.arrived)
	}
	return dispatch.Request{
		Ticket: t, ID: r.id, Team: r.teamName(), Priority: r.rank(), Prompt: r.prompt, Output: r.output, Parts: r.parts,
		Target: target - time.Since(r.arrived), Timeout: time.Until(r.deadline), Avoid: avoid, Regions: r.regions,
	}
}
