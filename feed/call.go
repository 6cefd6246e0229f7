package feed

import (
	"context"
	"errors"
	"time"
)

var (
	// errCallStalled ends a call to the platform whose answer has started to arrive and brings no byte
	// for a while.
	errCallStalled = errors.New("feed: the platform's answer stalled")
	// errCallTooSlow ends a call whose answer still arrives after Config.MaxReadTime.
	errCallTooSlow = errors.New("feed: the platform's answer takes too long")
)

// call is one call to the platform. It ends for lack of progress, or after Config.MaxReadTime, but not
// for the length of its answer: asked again, the platform would send the same bytes, or more.
type call struct {
	ctx    context.Context
	cancel context.CancelCauseFunc
	// unanswered and stall end a call before and after its answer has started to arrive.
	unanswered, stall *time.Timer
	stallTimeout      time.Duration
	// progressed is set once a part of the answer has arrived. Only the goroutine of the call uses it.
	progressed bool
	total      *time.Timer
}

// callKey is the context key of a *call.
type callKey struct{}

// newCall starts a call whose answer must start to arrive within timeout. end must be called.
func (f *Feed) newCall(ctx context.Context, timeout time.Duration) *call {
	c := &call{stallTimeout: f.cfg.StallTimeout}
	c.ctx, c.cancel = context.WithCancelCause(ctx)
	c.ctx = context.WithValue(c.ctx, callKey{}, c)
	c.unanswered = time.AfterFunc(timeout, func() { c.cancel(context.DeadlineExceeded) })
	c.total = time.AfterFunc(max(timeout, f.cfg.MaxReadTime), func() { c.cancel(errCallTooSlow) })
	return c
}

// ReportProgress reports that a part of an answer of the platform has arrived. A Source calls it, with
// the context of the call, on the goroutine of the call.
func ReportProgress(ctx context.Context) {
	c, ok := ctx.Value(callKey{}).(*call)
	if !ok {
		return
	}
	c.unanswered.Stop()
	c.progressed = true
	if c.stall == nil {
		c.stall = time.AfterFunc(c.stallTimeout, func() { c.cancel(errCallStalled) })
		return
	}
	c.stall.Reset(c.stallTimeout)
}

// end ends the call and returns why it was cancelled if it was, else the given error.
func (c *call) end(err error) error {
	if cause := context.Cause(c.ctx); cause != nil && err != nil {
		err = cause
	}
	c.unanswered.Stop()
	c.total.Stop()
	if c.stall != nil {
		c.stall.Stop()
	}
	c.cancel(nil)
	return err
}
