package upstream

import (
	"context"
	"errors"
	"io"
	"time"
)

// ErrIdleTimeout is the cancellation cause of a response whose body stopped arriving.
var ErrIdleTimeout = errors.New("upstream: idle timeout while reading the response")

// idleBody cancels a response that sends no data for timeout. Only time spent waiting
// for the upstream counts, so a slow caller doesn't cause a timeout.
type idleBody struct {
	body    io.ReadCloser
	timeout time.Duration
	timer   *time.Timer
	cancel  context.CancelCauseFunc
}

func newIdleBody(body io.ReadCloser, timeout time.Duration, cancel context.CancelCauseFunc) *idleBody {
	timer := time.AfterFunc(timeout, func() { cancel(ErrIdleTimeout) })
	timer.Stop()
	return &idleBody{body: body, timeout: timeout, timer: timer, cancel: cancel}
}

func (b *idleBody) Read(p []byte) (int, error) {
	b.timer.Reset(b.timeout)
	n, err := b.body.Read(p)
	b.timer.Stop()
	return n, err
}

func (b *idleBody) Close() error {
	b.timer.Stop()
	b.cancel(nil)
	return b.body.Close()
}
