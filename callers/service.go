package callers

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/aspenswitch/aspenswitch/idempotency"
	"github.com/aspenswitch/aspenswitch/retry"
	"github.com/aspenswitch/aspenswitch/router"
	"github.com/aspenswitch/aspenswitch/upstream"
)

const (
	maxIdempotencyKeyLen = 256
	// nonRepeatableTimeout limits a run, which continues if its caller disconnects.
	nonRepeatableTimeout = 2 * time.Minute
)

// handleService serves /services/{name}/...: the rest of the path is sent to the
// service unchanged.
func (s *Server) handleService(c echo.Context) error {
	pool, ok := s.router.Bundle().PoolForService(c.Param("service"))
	if !ok || !teamOf(c).MayUse(pool) {
		return invalidRequest(http.StatusNotFound, "service_not_found", fmt.Sprintf("there is no service %q for this team", c.Param("service")))
	}
	p, cancel, err := s.newProxyRequest(c)
	if err != nil {
		return err
	}
	defer cancel()
	url := c.Request().URL
	subpath := "/" + strings.TrimPrefix(strings.TrimPrefix(url.EscapedPath(), "/services/"+c.Param("service")), "/")
	p.path = subpath
	if url.RawQuery != "" {
		p.path += "?" + url.RawQuery
	}
	p.slotRequest.Pool = pool.ID
	p.repeatable = pool.Repeatable(p.method, subpath)
	if p.repeatable {
		return p.serve(p.relayResponse)
	}
	return p.serveAtMostOnce()
}

// serveAtMostOnce serves a non-repeatable request, which may run at most once. The
// request is identified by its idempotency key.
func (p *proxyRequest) serveAtMostOnce() error {
	key := p.c.Request().Header.Get(headerIdempotencyKey)
	if key == "" || len(key) > maxIdempotencyKeyLen {
		return invalidRequest(http.StatusBadRequest, "missing_idempotency_key",
			"a request that must not be repeated needs an "+headerIdempotencyKey+" header")
	}
	// The team ID keeps teams from seeing or blocking one another's keys.
	result := p.server.router.Claim(p.ctx, fmt.Sprintf("%d/%s", p.slotRequest.Team, key))
	switch result.Result {
	case idempotency.Won:
		p.claim = result.KeyClaim
		ctx, cancel := context.WithTimeout(context.WithoutCancel(p.ctx), nonRepeatableTimeout)
		defer cancel()
		defer context.AfterFunc(p.server.aborted, cancel)()
		p.sendCtx = ctx
		return p.serve(p.relayResponse)
	case idempotency.NotRun:
		return unavailable("no_quorum", "the key did not run, and can't be claimed now", minRetryAfter)
	case idempotency.Taken:
		return p.replay(result.Record)
	}
	return outcomeUnknown("the key may have run before; repeat it later with the same key")
}

// replay sends the stored response of the first run to a repeat.
func (p *proxyRequest) replay(r idempotency.Record) error {
	if r.State != idempotency.Done {
		return outcomeUnknown("the key was run before and its answer is not known")
	}
	h := p.c.Response().Header()
	copyResponseHeader(h, r.StoredResponse.Header)
	h.Set(HeaderReplayed, "true")
	h.Set(HeaderOutcome, string(retry.Ran))
	p.c.Response().WriteHeader(r.StoredResponse.Status)
	_, _ = p.c.Response().Write(r.StoredResponse.Body)
	return nil
}

// relayResponse streams a service's response to the caller and stores it if the
// request has a claim.
func (p *proxyRequest) relayResponse(_ *router.Slot, resp *http.Response) error {
	defer func() { _ = resp.Body.Close() }()
	out := p.c.Response()
	copyResponseHeader(out.Header(), resp.Header)
	out.Header().Set(HeaderOutcome, string(retry.Ran))
	if resp.ContentLength >= 0 {
		out.Header().Set(echo.HeaderContentLength, strconv.FormatInt(resp.ContentLength, 10))
	}
	for name := range resp.Trailer {
		out.Header().Add("Trailer", name)
	}
	stored := &bytes.Buffer{}
	firstChunk := make([]byte, 32<<10)
	n, err := io.ReadAtLeast(resp.Body, firstChunk, 1)
	if err != nil && err != io.EOF {
		return &upstream.RequestError{Sent: true, Cause: err}
	}
	out.WriteHeader(resp.StatusCode)
	if err := p.copyBody(stored, firstChunk[:n], resp.Body); err != nil {
		return err
	}
	for name, values := range resp.Trailer {
		out.Header()[name] = values
	}
	p.storeResponse(resp, stored)
	return nil
}

func (p *proxyRequest) copyBody(stored *bytes.Buffer, firstChunk []byte, rest io.Reader) error {
	out := p.c.Response()
	in := io.MultiReader(bytes.NewReader(firstChunk), rest)
	buf := make([]byte, 32<<10)
	for {
		n, err := in.Read(buf)
		if n > 0 {
			if stored.Len() <= idempotency.MaxResponseBytes {
				stored.Write(buf[:n])
			}
			if _, err := out.Write(buf[:n]); err != nil && p.claim == nil {
				return errCallerDisconnected
			}
			out.Flush()
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return &upstream.RequestError{Sent: true, Cause: err}
		}
	}
}

// storeResponse completes the claim with the response, for repeats of the key.
func (p *proxyRequest) storeResponse(resp *http.Response, body *bytes.Buffer) {
	header := resp.Header.Clone()
	p.completeClaim(&idempotency.StoredResponse{Status: resp.StatusCode, Header: header, Body: body.Bytes()})
}

func (p *proxyRequest) completeClaim(response *idempotency.StoredResponse) {
	if p.claim != nil {
		p.claim.Complete(response)
		p.claim = nil
	}
}
