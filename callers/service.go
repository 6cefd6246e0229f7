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
	maxKeyLen = 256
	// onceTimeout bounds a run whose caller may have left.
	onceTimeout = 2 * time.Minute
)

// service serves /services/{name}/...: the path below goes to the service as it is.
func (s *Server) service(c echo.Context) error {
	pool, ok := s.router.Bundle().PoolForService(c.Param("service"))
	if !ok || !teamOf(c).MayUse(pool) {
		return badRequest(http.StatusNotFound, "service_not_found", fmt.Sprintf("there is no service %q for this team", c.Param("service")))
	}
	j, cancel, err := s.newJob(c)
	if err != nil {
		return err
	}
	defer cancel()
	url := c.Request().URL
	below := "/" + strings.TrimPrefix(strings.TrimPrefix(url.EscapedPath(), "/services/"+c.Param("service")), "/")
	j.path = below
	if url.RawQuery != "" {
		j.path += "?" + url.RawQuery
	}
	j.request.Pool = pool.ID
	j.repeatable = pool.Repeatable(j.method, below)
	if j.repeatable {
		return j.serve(j.pass)
	}
	return j.serveOnce()
}

// serveOnce serves a request that may run at most once, by its key.
func (j *job) serveOnce() error {
	key := j.c.Request().Header.Get(headerKey)
	if key == "" || len(key) > maxKeyLen {
		return badRequest(http.StatusBadRequest, "missing_idempotency_key",
			"a request that must not be repeated needs an "+headerKey+" header")
	}
	// Teams can't see or block one another's keys.
	claimed := j.s.router.Claim(j.ctx, fmt.Sprintf("%d/%s", j.request.Team, key))
	switch claimed.Result {
	case idempotency.Won:
		j.run = claimed.Claim
		ctx, cancel := context.WithTimeout(context.WithoutCancel(j.ctx), onceTimeout)
		defer cancel()
		j.sendCtx = ctx
		return j.serve(j.pass)
	case idempotency.NotRun:
		return unavailable("no_quorum", "the key did not run, and can't be claimed now", minRetry)
	case idempotency.Taken:
		return j.replay(claimed.Record)
	}
	return lost("the key may have run before; repeat it later with the same key")
}

// replay answers a repeat with the first run's answer.
func (j *job) replay(r idempotency.Record) error {
	if r.State != idempotency.Done {
		return lost("the key was run before and its answer is not known")
	}
	h := j.c.Response().Header()
	copyHeader(h, r.Response.Header)
	h.Set(HeaderReplayed, "true")
	h.Set(HeaderOutcome, string(retry.Ran))
	j.c.Response().WriteHeader(r.Response.Status)
	_, _ = j.c.Response().Write(r.Response.Body)
	return nil
}

// pass streams a service's answer to the caller.
func (j *job) pass(_ *router.Slot, resp *http.Response) error {
	defer func() { _ = resp.Body.Close() }()
	out := j.c.Response()
	copyHeader(out.Header(), resp.Header)
	out.Header().Set(HeaderOutcome, string(retry.Ran))
	if resp.ContentLength >= 0 {
		out.Header().Set(echo.HeaderContentLength, strconv.FormatInt(resp.ContentLength, 10))
	}
	for name := range resp.Trailer {
		out.Header().Add("Trailer", name)
	}
	kept := &bytes.Buffer{}
	first := make([]byte, 32<<10)
	n, err := io.ReadAtLeast(resp.Body, first, 1)
	if err != nil && err != io.EOF {
		return &upstream.RequestError{Sent: true, Cause: err}
	}
	out.WriteHeader(resp.StatusCode)
	if err := j.copyBody(kept, first[:n], resp.Body); err != nil {
		return err
	}
	for name, values := range resp.Trailer {
		out.Header()[name] = values
	}
	j.keep(resp, kept)
	return nil
}

func (j *job) copyBody(kept *bytes.Buffer, first []byte, rest io.Reader) error {
	out := j.c.Response()
	in := io.MultiReader(bytes.NewReader(first), rest)
	buf := make([]byte, 32<<10)
	for {
		n, err := in.Read(buf)
		if n > 0 {
			if kept.Len() <= idempotency.MaxResponseBytes {
				kept.Write(buf[:n])
			}
			if _, err := out.Write(buf[:n]); err != nil && j.run == nil {
				return errCallerLeft
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

// keep remembers the answer for repeats of the key.
func (j *job) keep(resp *http.Response, body *bytes.Buffer) {
	header := resp.Header.Clone()
	j.settle(&idempotency.Response{Status: resp.StatusCode, Header: header, Body: body.Bytes()})
}

func (j *job) settle(answer *idempotency.Response) {
	if j.run != nil {
		j.run.Complete(answer)
		j.run = nil
	}
}
