package upstream

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"time"

	"github.com/zeebo/errs"

	"github.com/aspenswitch/aspenswitch/eventstream"
)

// Error is the class of this package's errors.
var Error = errs.Class("upstream")

// Config tunes a Client.
type Config struct {
	// DialTimeout limits the time to open a connection.
	DialTimeout time.Duration
	// IdleTimeout is the maximum time without data within a response. A connection
	// whose state a middlebox has dropped stays open without data indefinitely.
	IdleTimeout time.Duration
	// HeaderTimeout limits the wait for the response header.
	HeaderTimeout time.Duration
	// MaxHeaderBytes limits the headers of a response, including those of interim responses.
	MaxHeaderBytes int64
	// KeepAlive configures the TCP keep-alive probes, which detect a broken path below
	// HTTP.
	KeepAlive net.KeepAliveConfig
}

// DefaultConfig returns the configuration for upstreams of the same region.
func DefaultConfig() Config {
	return Config{
		DialTimeout:    time.Second,
		IdleTimeout:    10 * time.Second,
		HeaderTimeout:  5 * time.Minute,
		MaxHeaderBytes: defaultMaxHeaderBytes,
		KeepAlive:      net.KeepAliveConfig{Enable: true, Idle: 5 * time.Second, Interval: time.Second, Count: 5},
	}
}

// Client sends requests to upstreams.
type Client struct {
	cfg Config
	// pooled reuses connections; unpooled opens a new one for each request.
	pooled, unpooled *http.Transport
}

// NewClient returns a client.
func NewClient(cfg Config) *Client {
	return &Client{cfg: cfg, pooled: newTransport(cfg, false), unpooled: newTransport(cfg, true)}
}

// maxIdlePerUpstream is the maximum number of idle connections kept per upstream.
const maxIdlePerUpstream = 64

func newTransport(cfg Config, disableReuse bool) *http.Transport {
	dialer := &net.Dialer{Timeout: cfg.DialTimeout, KeepAliveConfig: cfg.KeepAlive}
	return &http.Transport{
		DialContext:            dialer.DialContext,
		DisableCompression:     true,
		DisableKeepAlives:      disableReuse,
		MaxIdleConnsPerHost:    maxIdlePerUpstream,
		IdleConnTimeout:        30 * time.Second,
		ResponseHeaderTimeout:  cfg.HeaderTimeout,
		MaxResponseHeaderBytes: cfg.MaxHeaderBytes,
	}
}

// headerLimitText is part of the error of http.Transport for a header that exceeds its limit. The
// error has no type.
const headerLimitText = "server response headers exceeded"

// markMalformed gives the error of a header that exceeds the limit its type.
func (c *Client) markMalformed(err error) error {
	if !strings.Contains(err.Error(), headerLimitText) {
		return err
	}
	return &MalformedResponseError{Reason: HeaderTooLarge, Bytes: c.cfg.MaxHeaderBytes, Cause: err}
}

// RequestError is returned for a request that received no response.
type RequestError struct {
	// Sent is true if the request may have reached the upstream. If it is false, the
	// request was certainly not executed.
	Sent  bool
	Cause error
}

// Error implements error.
func (e *RequestError) Error() string {
	if e.Sent {
		return "upstream: request failed after sending: " + e.Cause.Error()
	}
	return "upstream: request not sent: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *RequestError) Unwrap() error { return e.Cause }

// Do sends a request and returns the response once its header has arrived. Reads of the
// body fail after Config.IdleTimeout without data.
//
// A request that is not repeatable is sent on a new connection. net/http retries a
// request by itself if a reused connection breaks and the request counts as replayable,
// as one with an Idempotency-Key header does: the caller would receive one response
// although the service executed the request twice. It never retries the first request
// of a connection.
func (c *Client) Do(req *http.Request, repeatable bool) (*http.Response, error) {
	transport := c.pooled
	if !repeatable {
		transport = c.unpooled
	}
	trace := &requestTrace{}
	ctx, cancel := context.WithCancelCause(httptrace.WithClientTrace(req.Context(), trace.hooks()))
	resp, err := transport.RoundTrip(req.WithContext(ctx))
	if err != nil {
		cancel(err)
		return nil, &RequestError{Sent: trace.sent(), Cause: c.markMalformed(err)}
	}
	if err := checkParsed(resp); err != nil {
		cancel(err)
		return nil, &RequestError{Sent: true, Cause: err}
	}
	if eventstream.FramingOf(req.Method, resp) == eventstream.Connection {
		resp.Body = &unframedBody{ReadCloser: resp.Body, trace: trace}
	}
	resp.Body = newIdleBody(resp.Body, c.cfg.IdleTimeout, cancel)
	return resp, nil
}

// Close closes idle connections.
func (c *Client) Close() {
	c.pooled.CloseIdleConnections()
	c.unpooled.CloseIdleConnections()
}

// NotSent reports whether err means that no part of the request was sent.
func NotSent(err error) bool {
	var e *RequestError
	return errors.As(err, &e) && !e.Sent
}
