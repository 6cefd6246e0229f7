package callers

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/aspenswitch/aspenswitch/fairness"
	"github.com/aspenswitch/aspenswitch/retry"
	"github.com/aspenswitch/aspenswitch/router"
	"github.com/aspenswitch/aspenswitch/sched"
	"github.com/aspenswitch/aspenswitch/upstream"
)

// minRetryAfter is the shortest Retry-After that is sent to a refused caller.
const minRetryAfter = time.Second

// proxyRequest is a caller's request that is being proxied to an upstream.
type proxyRequest struct {
	server *Server
	c      echo.Context
	ctx    context.Context
	// sendCtx is the context of the exchange with the upstream. It is ctx, except
	// for a request that may run at most once: that one continues after its caller
	// has disconnected, so that a repeat gets the response.
	sendCtx     context.Context
	rec         *requestRecord
	slotRequest sched.Request
	method      string
	path        string
	header      http.Header
	body        []byte
	repeatable  bool
	// claim is set while a request that may run at most once holds its key.
	claim *router.KeyClaim
}

// newProxyRequest reads a request's body and timeout. The returned function must be
// called when the request ends.
func (s *Server) newProxyRequest(c echo.Context) (*proxyRequest, context.CancelFunc, error) {
	b := s.router.Bundle()
	body, err := io.ReadAll(http.MaxBytesReader(c.Response(), c.Request().Body, b.Limits.BodyBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, nil, invalidRequest(http.StatusRequestEntityTooLarge, "body_too_large", "the body is larger than this fleet takes")
	}
	if err != nil {
		return nil, nil, invalidRequest(http.StatusBadRequest, "body_unreadable", "the body could not be read")
	}
	p := &proxyRequest{
		server: s, c: c, rec: recordOf(c), body: body,
		method:      c.Request().Method,
		header:      upstreamHeader(c.Request().Header),
		slotRequest: sched.Request{Team: fairness.TeamID(teamOf(c).ID)},
	}
	p.header.Set(headerRequestID, p.rec.id)
	ctx, cancel, err := withTimeout(c.Request())
	if err != nil {
		return nil, nil, err
	}
	p.ctx, p.sendCtx = ctx, ctx
	p.slotRequest.Deadline, _ = ctx.Deadline()
	release := context.AfterFunc(s.aborted, cancel)
	return p, func() {
		release()
		cancel()
	}, nil
}

// withTimeout returns the request's context with the timeout that the caller set.
func withTimeout(r *http.Request) (context.Context, context.CancelFunc, error) {
	value := r.Header.Get(HeaderTimeout)
	if value == "" {
		ctx, cancel := context.WithCancel(r.Context())
		return ctx, cancel, nil
	}
	d, err := time.ParseDuration(value)
	if err != nil || d <= 0 {
		return nil, nil, invalidRequest(http.StatusBadRequest, "bad_timeout", HeaderTimeout+` must be a duration such as "2.5s"`)
	}
	ctx, cancel := context.WithTimeout(r.Context(), d)
	return ctx, cancel, nil
}

// serve acquires a slot, sends the request and relays the response. It repeats this
// as often as the retry policy allows.
func (p *proxyRequest) serve(relay func(*router.Slot, *http.Response) error) error {
	for {
		p.rec.attempts++
		slot, err := p.acquireSlot()
		if err != nil {
			return err
		}
		resp, err := p.send(slot)
		if err == nil {
			p.rec.upstream = slot.Upstream.Name
			err = relay(slot, resp)
			if err == nil {
				slot.Release()
				return nil
			}
		}
		if err = p.handleFailure(slot, err); err != nil {
			return err
		}
	}
}

// acquireSlot waits for a slot. If it gets none, it abandons the claim.
func (p *proxyRequest) acquireSlot() (*router.Slot, error) {
	start := time.Now()
	slot, err := p.server.router.Acquire(p.ctx, p.slotRequest)
	p.rec.slotWait += time.Since(start)
	if err != nil {
		p.abandonClaim()
		return nil, refusalError(err)
	}
	return slot, nil
}

// send sends the request once.
func (p *proxyRequest) send(slot *router.Slot) (*http.Response, error) {
	req, err := http.NewRequestWithContext(p.sendCtx, p.method, "http://"+slot.Upstream.Address+p.path, bytes.NewReader(p.body))
	if err != nil {
		return nil, &upstream.RequestError{Cause: err}
	}
	req.Header = p.header.Clone()
	if err := p.checkLeases(slot); err != nil {
		return nil, err
	}
	return p.server.router.Upstreams.Do(req, p.repeatable)
}

// errLeaseExpired is returned if the slot's lease or the claim expired between its
// grant and the send, because the process was paused in between.
var errLeaseExpired = errors.New("callers: the slot's lease or the claim expired before the request was sent")

// errCallerDisconnected is returned if the response can't be written to the caller.
var errCallerDisconnected = errors.New("callers: the caller disconnected")

func (p *proxyRequest) checkLeases(slot *router.Slot) error {
	if !slot.Valid() || (p.claim != nil && !p.claim.Usable()) {
		return &upstream.RequestError{Cause: errLeaseExpired}
	}
	return nil
}

// handleFailure releases the slot after a failure. It returns nil if the request is
// to be retried, else the error for the caller.
func (p *proxyRequest) handleFailure(slot *router.Slot, err error) error {
	if p.c.Request().Context().Err() != nil || errors.Is(err, errCallerDisconnected) {
		slot.Release()
		p.completeClaim(nil)
		return outcomeUnknown("the caller left")
	}
	d := p.server.policy.Decide(retry.Failure{
		Sent:            !upstream.NotSent(err),
		ResponseStarted: p.c.Response().Committed,
		Repeatable:      p.repeatable,
		Attempt:         p.rec.attempts,
	})
	p.server.log.Warn().Err(err).Str("request", p.rec.id).Str("upstream", slot.Upstream.Name).Bool("again", d.Retry).Msg("request to upstream failed")
	var malformed *upstream.MalformedResponseError
	if errors.As(err, &malformed) {
		reason := map[string]string{"reason": string(malformed.Reason)}
		p.server.router.Metrics().Scope.Tagged(reason).Counter("malformed_responses").Inc(1)
	}
	if errors.Is(err, errLeaseExpired) {
		slot.Release()
	} else {
		slot.Fail(p.server.policy.AvoidDuration)
	}
	p.slotRequest.AvoidUpstream = slot.Upstream.ID
	switch {
	case p.ctx.Err() != nil && d.Outcome == retry.NotRun:
		p.abandonClaim()
		return refusalError(p.ctx.Err())
	case d.Retry && p.ctx.Err() == nil:
		return nil
	case d.Outcome == retry.NotRun:
		p.abandonClaim()
		return unavailable("no_upstream", "no upstream could be reached", minRetryAfter)
	}
	p.completeClaim(nil)
	if p.server.aborted.Err() != nil {
		return outcomeUnknown("this router is stopping and no answer has come; the request may have run")
	}
	return outcomeUnknown("the upstream's answer was lost")
}

// abandonClaim releases the claim of a request that was not sent.
func (p *proxyRequest) abandonClaim() {
	if p.claim != nil {
		p.claim.Abandon()
		p.claim = nil
	}
}
