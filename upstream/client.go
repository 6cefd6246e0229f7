package upstream

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of this package's errors.
var Error = errs.Class("upstream")

// Config tunes a Client.
type Config struct {
	// DialTimeout bounds a new connection.
	DialTimeout time.Duration
	// IdleTimeout is the longest silence within an answer. A connection that something
	// between the two ends has forgotten stays open and silent for good.
	IdleTimeout time.Duration
	// HeaderTimeout bounds the wait for the first byte of an answer.
	HeaderTimeout time.Duration
	// KeepAlive probes find a dead path below HTTP.
	KeepAlive net.KeepAliveConfig
}

// DefaultConfig returns settings for upstreams of the same region.
func DefaultConfig() Config {
	return Config{
		DialTimeout:   time.Second,
		IdleTimeout:   10 * time.Second,
		HeaderTimeout: 5 * time.Minute,
		KeepAlive:     net.KeepAliveConfig{Enable: true, Idle: 5 * time.Second, Interval: time.Second, Count: 5},
	}
}

// Client sends requests to upstreams.
type Client struct {
	cfg Config
	// pooled keeps connections; unpooled opens one for each request.
	pooled, unpooled *http.Transport
}

// NewClient returns a client.
func NewClient(cfg Config) *Client {
	return &Client{cfg: cfg, pooled: newTransport(cfg, false), unpooled: newTransport(cfg, true)}
}

// maxIdlePerUpstream is how many connections wait for reuse.
const maxIdlePerUpstream = 64

func newTransport(cfg Config, disableReuse bool) *http.Transport {
	dialer := &net.Dialer{Timeout: cfg.DialTimeout, KeepAliveConfig: cfg.KeepAlive}
	return &http.Transport{
		DialContext:           dialer.DialContext,
		DisableCompression:    true,
		DisableKeepAlives:     disableReuse,
		MaxIdleConnsPerHost:   maxIdlePerUpstream,
		IdleConnTimeout:       30 * time.Second,
		ResponseHeaderTimeout: cfg.HeaderTimeout,
	}
}

// RequestError is a request that got no answer.
type RequestError struct {
	// Sent is set if the request may have reached the upstream. Without it the
	// request truly did not run.
	Sent  bool
	Cause error
}

// Error implements error.
func (f *RequestError) Error() string {
	if f.Sent {
		return "upstream: lost after sending: " + f.Cause.Error()
	}
	return "upstream: not sent: " + f.Cause.Error()
}

// Unwrap returns the cause.
func (f *RequestError) Unwrap() error { return f.Cause }

// Do sends a request and returns the answer's head; the body's reads end with an
// error after Config.Idle of silence.
//
// A request that is not repeatable goes out on a fresh connection. net/http
// sends a request again by itself when a reused connection breaks and the
// request counts as replayable, which an Idempotency-Key header makes it: the
// caller would see one answer, and the service would have booked twice. It
// never does so on a connection's first request.
func (c *Client) Do(req *http.Request, repeatable bool) (*http.Response, error) {
	transport := c.pooled
	if !repeatable {
		transport = c.unpooled
	}
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	ctx, cancel := context.WithCancelCause(httptrace.WithClientTrace(req.Context(), trace))
	resp, err := transport.RoundTrip(req.WithContext(ctx))
	if err != nil {
		cancel(err)
		return nil, &RequestError{Sent: sent.Load(), Cause: err}
	}
	resp.Body = newIdleBody(resp.Body, c.cfg.IdleTimeout, cancel)
	return resp, nil
}

// Close ends idle connections.
func (c *Client) Close() {
	c.pooled.CloseIdleConnections()
	c.unpooled.CloseIdleConnections()
}

// NotSent reports whether err says that the request can't have left.
func NotSent(err error) bool {
	var f *RequestError
	return errors.As(err, &f) && !f.Sent
}
