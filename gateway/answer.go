package gateway

import (
	"context"
	"io"
	"net/http"
	"strconv"

	"github.com/aspenswitch/aspenswitch/dispatch"
	"github.com/aspenswitch/aspenswitch/routing"
	"github.com/aspenswitch/aspenswitch/upstream"
)

// answer judges an upstream's answer and passes it on. begun is called at the
// first byte of the body.
func (s *Server) answer(ctx context.Context, r *request, out *relay, a *upstream.Response, begun func()) (result, dispatch.Outcome) {
	notice := s.parseUpstreamNotice(a)
	r.record.upstreamLeaving, r.record.upstreamRetryAfter = notice.leaving, notice.retryAfter
	s.handleNotice(r, notice)
	if a.Header.Get(s.cfg.Headers.NotRun) != "" || a.Status == http.StatusMisdirectedRequest {
		return s.rejected(r, a)
	}
	if !s.plausible(a) {
		r.record.cause = "upstream answered " + strconv.Itoa(a.Status) + " out of protocol"
		return s.broken(r, nil), dispatch.Failed
	}
	if r.route.Kind == routing.Streaming && a.Status < http.StatusMultipleChoices {
		return s.stream(ctx, r, out, a, begun)
	}
	if out.started {
		// A failure can't follow the events that the caller already has.
		r.record.cause = "upstream answered " + strconv.Itoa(a.Status) + " to a stream that was to go on"
		return s.broken(r, nil), dispatch.Failed
	}
	return s.whole(ctx, r, out, a, begun)
}

// plausible reports whether an answer can be passed on. A success without the
// upstream's seal isn't its answer. A status that promises "not run" without
// the upstream's word for it would be a promise that nobody made.
func (s *Server) plausible(a *upstream.Response) bool {
	switch a.Status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout:
		return false
	}
	if a.Status < http.StatusMultipleChoices {
		return a.Header.Get(s.cfg.Headers.Seal) != "" && a.Header.Get("Content-Encoding") == ""
	}
	return true
}

// rejected decides after an upstream that didn't run the request.
func (s *Server) rejected(r *request, a *upstream.Response) (result, dispatch.Outcome) {
	r.record.cause = "upstream rejected with " + strconv.Itoa(a.Status)
	// The connection is good; reading to the end lets it be used again.
	_, _ = io.CopyN(io.Discard, a, maxWhole)
	retryAfter := retryLater
	if r.record.upstreamRetryAfter > 0 {
		// The upstream is now excluded, so the caller's next request goes to another one.
		retryAfter = minRetryAfter
	}
	res := result{refused: notRun("upstream_full", "the upstream had no room; the request was not run", retryAfter)}
	res.again = s.mayRetry(r)
	return res, dispatch.Rejected
}

// maxWhole is the largest answer that is read whole before it is passed on, so
// that one that breaks off can still be replaced.
const maxWhole = 64 << 10

// whole passes on an answer that is no stream.
func (s *Server) whole(ctx context.Context, r *request, out *relay, a *upstream.Response, begun func()) (result, dispatch.Outcome) {
	body, err := io.ReadAll(io.LimitReader(a, maxWhole))
	begun()
	if err != nil {
		return s.interrupted(ctx, r, err)
	}
	failed := a.Status >= http.StatusInternalServerError
	if failed && r.route.Kind == routing.Safe && a.Complete() && s.mayRetry(r) {
		r.mayHaveRun = true
		r.record.cause = "upstream failed with " + strconv.Itoa(a.Status)
		return result{refused: unknown(http.StatusBadGateway, "upstream_failed", "the upstream failed"), again: true}, dispatch.Failed
	}
	out.head(a)
	ran(r, a.Status)
	if err := out.rest(body, a); err != nil {
		r.record.cause = err.Error()
		if !out.callerGone && ctx.Err() == nil {
			s.noteBrokenConnection(r, err)
		}
		return s.cutOff(r), dispatch.Failed
	}
	r.record.cause = ""
	if failed {
		return result{}, dispatch.Failed
	}
	return result{}, dispatch.Served
}

// interrupted decides after an answer that broke off before anything of it was
// passed on.
func (s *Server) interrupted(ctx context.Context, r *request, err error) (result, dispatch.Outcome) {
	r.record.cause = err.Error()
	if ctx.Err() != nil {
		o := dispatch.Cancelled
		if r.ctx.Err() == nil {
			o = dispatch.Failed
		}
		return result{refused: noAnswer(r)}, o
	}
	s.noteBrokenConnection(r, err)
	return s.broken(r, nil), dispatch.Failed
}

// cutOff is the end of an answer that has begun and can't be completed.
func (s *Server) cutOff(r *request) result {
	return result{refused: unknown(http.StatusBadGateway, "cut", "the answer broke off")}
}

// stream passes on events as they come. One that breaks off goes on at another
// upstream where the route allows it.
func (s *Server) stream(ctx context.Context, r *request, out *relay, a *upstream.Response, begun func()) (result, dispatch.Outcome) {
	err := out.events(a, begun)
	switch {
	case err == nil:
		ran(r, a.Status)
		r.record.cause = ""
		return result{}, dispatch.Served
	case out.callerGone || r.ctx.Err() != nil:
		r.record.cause = "caller left: " + err.Error()
		r.record.outcome = "cancelled"
		return s.cutOff(r), dispatch.Cancelled
	case ctx.Err() != nil:
		r.record.cause = "deadline: " + err.Error()
		if out.started {
			return s.cutOff(r), dispatch.Cancelled
		}
		return result{refused: unknown(http.StatusGatewayTimeout, "deadline", "no answer came in time; the request may have run")}, dispatch.Failed
	}
	r.record.cause = err.Error()
	s.noteBrokenConnection(r, err)
	if out.started && !out.resumable {
		return s.cutOff(r), dispatch.Failed
	}
	return s.broken(r, nil), dispatch.Failed
}
