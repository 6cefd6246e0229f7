package upstream

import (
	"context"
	"errors"
	"io"
	"time"
)

// ErrIdleTimeout ends the body of an answer that stopped coming.
var ErrIdleTimeout = errors.New("upstream: connection went silent")

// idleBody ends an answer that has been silent for too long. Only time spent
// waiting for the upstream counts, so a slow caller cuts nothing.
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
