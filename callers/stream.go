package callers

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/aspenswitch/aspenswitch/retry"
	"github.com/aspenswitch/aspenswitch/router"
	"github.com/aspenswitch/aspenswitch/upstream"
)

// headerStream names a resumable stream at its engine.
const headerStream = "Stream-Id"

// resumeTries is how often a broken stream is resumed in all; cancelTimeout
// bounds the engine's answer to a cancellation.
const (
	resumeTries   = 3
	cancelTimeout = 2 * time.Second
)

// errCut ends a stream whose last event never came.
var errCut = errors.New("callers: the engine's stream ended early")

// event is one server-sent event with its id.
type event struct {
	id   []byte
	raw  []byte
	last bool
}

// readEvent reads up to the blank line that ends an event.
func readEvent(r *bufio.Reader) (event, error) {
	var e event
	for {
		line, err := r.ReadBytes('\n')
		if err != nil {
			// A part of an event is worthless: the resume sends it whole.
			if err == io.EOF {
				err = errCut
			}
			return event{}, err
		}
		e.raw = append(e.raw, line...)
		text := bytes.TrimRight(line, "\r\n")
		if len(text) == 0 {
			return e, nil
		}
		if id, ok := bytes.CutPrefix(text, []byte("id: ")); ok {
			e.id = bytes.Clone(id)
		}
		if data, ok := bytes.CutPrefix(text, []byte("data: ")); ok && string(data) == "[DONE]" {
			e.last = true
		}
	}
}

// relay is a stream on its way from an engine to a caller.
type relay struct {
	j      *job
	ticket *router.Slot
	id     string
	after  string
	tries  int
}

// stream passes a stream on event by event. A broken one is resumed where the
// caller's answer stands, so that no token comes twice or is missing.
func (j *job) stream(t *router.Slot, resp *http.Response) error {
	if resp.StatusCode != http.StatusOK {
		return j.whole(t, resp)
	}
	s := &relay{j: j, ticket: t, id: resp.Header.Get(headerStream)}
	err := s.copy(resp)
	for err != nil && s.mayResume(err) {
		if resp, err = s.resume(); err == nil {
			err = s.copy(resp)
		}
	}
	if err == nil {
		return nil
	}
	s.cancelUpstream()
	if !j.c.Response().Committed {
		return &upstream.RequestError{Sent: true, Cause: err}
	}
	return s.endWithError(err)
}

// copy passes events on until the last one.
func (s *relay) copy(resp *http.Response) error {
	defer func() { _ = resp.Body.Close() }()
	in := bufio.NewReader(resp.Body)
	for {
		e, err := readEvent(in)
		if err != nil {
			return err
		}
		s.begin(resp)
		out := s.j.c.Response()
		if _, err := out.Write(e.raw); err != nil {
			return errCallerLeft
		}
		out.Flush()
		if e.id != nil {
			s.after = string(e.id)
		}
		if e.last {
			return nil
		}
	}
}

// begin writes the head before the first event.
func (s *relay) begin(resp *http.Response) {
	out := s.j.c.Response()
	if out.Committed {
		return
	}
	copyHeader(out.Header(), resp.Header)
	out.Header().Del(headerStream)
	out.Header().Set(HeaderOutcome, string(retry.Ran))
	out.WriteHeader(http.StatusOK)
}

func (s *relay) mayResume(err error) bool {
	return s.j.ctx.Err() == nil && !errors.Is(err, errCallerLeft) && s.ticket.Upstream.Resumable && s.id != "" && s.tries < resumeTries
}

// resume asks the engine for what follows the last event that the caller got.
func (s *relay) resume() (*http.Response, error) {
	s.tries++
	q := url.Values{"after": {s.after}}
	req, err := http.NewRequestWithContext(s.j.ctx, http.MethodGet, s.address()+"?"+q.Encode(), nil)
	if err != nil {
		return nil, err
	}
	s.j.s.router.Metrics().Scope.Counter("streams_resumed").Inc(1)
	resp, err := s.j.s.router.Upstreams.Do(req, true)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		_ = resp.Body.Close()
		return nil, fmt.Errorf("callers: resume answered %s", resp.Status)
	}
	return resp, nil
}

func (s *relay) address() string {
	return "http://" + s.ticket.Upstream.Address + "/v1/streams/" + url.PathEscape(s.id)
}

// cancelUpstream ends the generation of a stream that nobody reads any more: a
// resumable engine goes on after its connection breaks.
func (s *relay) cancelUpstream() {
	if s.id == "" {
		return
	}
	ctx, done := context.WithTimeout(context.WithoutCancel(s.j.ctx), cancelTimeout)
	defer done()
	req, err := http.NewRequestWithContext(ctx, http.MethodDelete, s.address(), nil)
	if err != nil {
		return
	}
	if resp, err := s.j.s.router.Upstreams.Do(req, true); err == nil {
		_ = resp.Body.Close()
	}
}

// endWithError ends an answer that can't be completed with an error event, never
// silently short.
func (s *relay) endWithError(cause error) error {
	if s.j.c.Request().Context().Err() != nil {
		return lost("the caller left")
	}
	e := lost("the engine's stream was lost: " + cause.Error())
	data, err := json.Marshal(e.body())
	if err != nil {
		return err
	}
	out := s.j.c.Response()
	_, _ = fmt.Fprintf(out, "event: error\ndata: %s\n\n", data)
	out.Flush()
	s.j.rec.ended = true
	return e
}
