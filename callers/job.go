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

// minRetry is the shortest time that a refused caller is told to wait.
const minRetry = time.Second

// job is one caller's request on its way through the router.
type job struct {
	s   *Server
	c   echo.Context
	ctx context.Context
	// sendCtx bounds the exchange with the upstream. It is ctx, but for a request
	// that may run at most once: that one goes on when its caller has left, so
	// that a repeat gets the answer.
	sendCtx    context.Context
	rec        *record
	request    sched.Request
	method     string
	path       string
	header     http.Header
	body       []byte
	repeatable bool
	// run is set for a request that may run at most once.
	run *router.KeyClaim
}

// newJob reads the body and the deadline. Call the returned function at the end.
func (s *Server) newJob(c echo.Context) (*job, context.CancelFunc, error) {
	b := s.router.Bundle()
	body, err := io.ReadAll(http.MaxBytesReader(c.Response(), c.Request().Body, b.Limits.BodyBytes))
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return nil, nil, badRequest(http.StatusRequestEntityTooLarge, "body_too_large", "the body is larger than this fleet takes")
	}
	if err != nil {
		return nil, nil, badRequest(http.StatusBadRequest, "body_unreadable", "the body could not be read")
	}
	j := &job{
		s: s, c: c, rec: recordOf(c), body: body,
		method:  c.Request().Method,
		header:  forwardHeader(c.Request().Header),
		request: sched.Request{Team: fairness.TeamID(teamOf(c).ID)},
	}
	j.header.Set(headerRequest, j.rec.id)
	ctx, cancel, err := withTimeout(c.Request())
	if err != nil {
		return nil, nil, err
	}
	j.ctx, j.sendCtx = ctx, ctx
	j.request.Deadline, _ = ctx.Deadline()
	return j, cancel, nil
}

// withTimeout keeps the caller's own deadline.
func withTimeout(r *http.Request) (context.Context, context.CancelFunc, error) {
	text := r.Header.Get(HeaderTimeout)
	if text == "" {
		ctx, cancel := context.WithCancel(r.Context())
		return ctx, cancel, nil
	}
	d, err := time.ParseDuration(text)
	if err != nil || d <= 0 {
		return nil, nil, badRequest(http.StatusBadRequest, "bad_timeout", HeaderTimeout+` must be a duration such as "2.5s"`)
	}
	ctx, cancel := context.WithTimeout(r.Context(), d)
	return ctx, cancel, nil
}

// serve finds a slot, sends the request and passes the answer on, as often as
// the retry policy allows.
func (j *job) serve(pass func(*router.Slot, *http.Response) error) error {
	for {
		j.rec.attempts++
		ticket, err := j.slot()
		if err != nil {
			return err
		}
		resp, err := j.send(ticket)
		if err == nil {
			j.rec.upstream = ticket.Upstream.Name
			err = pass(ticket, resp)
			if err == nil {
				ticket.Release()
				return nil
			}
		}
		if err = j.failed(ticket, err); err != nil {
			return err
		}
	}
}

// slot waits for a slot whose lease still runs.
func (j *job) slot() (*router.Slot, error) {
	began := time.Now()
	ticket, err := j.s.router.Acquire(j.ctx, j.request)
	j.rec.wait += time.Since(began)
	if err != nil {
		j.drop()
		return nil, refused(err)
	}
	return ticket, nil
}

// send sends the request once.
func (j *job) send(t *router.Slot) (*http.Response, error) {
	req, err := http.NewRequestWithContext(j.sendCtx, j.method, "http://"+t.Upstream.Address+j.path, bytes.NewReader(j.body))
	if err != nil {
		return nil, &upstream.RequestError{Cause: err}
	}
	req.Header = j.header.Clone()
	if err := j.mayStillSend(t); err != nil {
		return nil, err
	}
	return j.s.router.Upstreams.Do(req, j.repeatable)
}

// errStale is a slot or claim that ended between its grant and the sending: the
// process was paused in between.
var errStale = errors.New("callers: the lease ended before the request was sent")

// errCallerLeft is a caller that does not take its answer.
var errCallerLeft = errors.New("callers: the caller left")

func (j *job) mayStillSend(t *router.Slot) error {
	if !t.Valid() || (j.run != nil && !j.run.Valid()) {
		return &upstream.RequestError{Cause: errStale}
	}
	return nil
}

// failed decides after a failure: nil to try again.
func (j *job) failed(t *router.Slot, err error) error {
	if j.c.Request().Context().Err() != nil || errors.Is(err, errCallerLeft) {
		t.Release()
		j.settle(nil)
		return lost("the caller left")
	}
	d := j.s.policy.Decide(retry.Failure{
		Sent:            !upstream.NotSent(err),
		ResponseStarted: j.c.Response().Committed,
		Repeatable:      j.repeatable,
		Attempt:         j.rec.attempts,
	})
	j.s.log.Warn().Err(err).Str("request", j.rec.id).Str("upstream", t.Upstream.Name).Bool("again", d.Retry).Msg("upstream failed")
	if errors.Is(err, errStale) {
		t.Release()
	} else {
		t.Fail(j.s.policy.AvoidDuration)
	}
	j.request.AvoidUpstream = t.Upstream.ID
	switch {
	case j.ctx.Err() != nil && d.Outcome == retry.NotRun:
		j.drop()
		return refused(j.ctx.Err())
	case d.Retry && j.ctx.Err() == nil:
		return nil
	case d.Outcome == retry.NotRun:
		j.drop()
		return unavailable("no_upstream", "no upstream could be reached", minRetry)
	}
	j.settle(nil)
	return lost("the upstream's answer was lost")
}

// drop gives the key up: the request was never sent.
func (j *job) drop() {
	if j.run != nil {
		j.run.Abandon()
		j.run = nil
	}
}
