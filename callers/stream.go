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

// headerStreamID is the header in which an engine sends the ID of a resumable
// stream.
const headerStreamID = "Stream-Id"

// maxResumes is the total number of times that a broken stream is resumed;
// cancelTimeout limits the wait for the engine's response to a cancellation.
const (
	maxResumes    = 3
	cancelTimeout = 2 * time.Second
)

// errStreamTruncated is returned if a stream ends before its last event.
var errStreamTruncated = errors.New("callers: the engine's stream ended early")

// event is one server-sent event with its ID.
type event struct {
	id   []byte
	raw  []byte
	last bool
}

// readEvent reads an event, up to and including the blank line that ends it.
func readEvent(r *bufio.Reader) (event, error) {
	var e event
	for {
		line, err := r.ReadBytes('\n')
		if err != nil {
			// Discard the partial event: the resumed stream sends it in full.
			if err == io.EOF {
				err = errStreamTruncated
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

// streamRelay relays a stream from an engine to a caller.
type streamRelay struct {
	request     *proxyRequest
	slot        *router.Slot
	streamID    string
	lastEventID string
	resumes     int
}

// relayStream relays a stream event by event. It resumes a broken stream after the
// last event that was sent to the caller, so that no token is repeated or missing.
func (p *proxyRequest) relayStream(slot *router.Slot, resp *http.Response) error {
	if resp.StatusCode != http.StatusOK {
		return p.relayBuffered(slot, resp)
	}
	s := &streamRelay{request: p, slot: slot, streamID: resp.Header.Get(headerStreamID)}
	err := s.relayEvents(resp)
	for err != nil && s.canResume(err) {
		if resp, err = s.resume(); err == nil {
			err = s.relayEvents(resp)
		}
	}
	if err == nil {
		return nil
	}
	s.cancelUpstream()
	if !p.c.Response().Committed {
		return &upstream.RequestError{Sent: true, Cause: err}
	}
	return s.endWithError(err)
}

// relayEvents relays events up to and including the last one.
func (s *streamRelay) relayEvents(resp *http.Response) error {
	defer func() { _ = resp.Body.Close() }()
	in := bufio.NewReader(resp.Body)
	for {
		e, err := readEvent(in)
		if err != nil {
			return err
		}
		s.writeHeader(resp)
		out := s.request.c.Response()
		if _, err := out.Write(e.raw); err != nil {
			return errCallerDisconnected
		}
		out.Flush()
		if e.id != nil {
			s.lastEventID = string(e.id)
		}
		if e.last {
			return nil
		}
	}
}

// writeHeader writes the response header before the first event.
func (s *streamRelay) writeHeader(resp *http.Response) {
	out := s.request.c.Response()
	if out.Committed {
		return
	}
	copyResponseHeader(out.Header(), resp.Header)
	out.Header().Del(headerStreamID)
	out.Header().Set(HeaderOutcome, string(retry.Ran))
	out.WriteHeader(http.StatusOK)
}

func (s *streamRelay) canResume(err error) bool {
	return s.request.ctx.Err() == nil && !errors.Is(err, errCallerDisconnected) && s.slot.Upstream.Resumable && s.streamID != "" && s.resumes < maxResumes
}

// resume requests the events after the last one that was sent to the caller.
func (s *streamRelay) resume() (*http.Response, error) {
	s.resumes++
	q := url.Values{"after": {s.lastEventID}}
	req, err := http.NewRequestWithContext(s.request.ctx, http.MethodGet, s.address()+"?"+q.Encode(), nil)
	if err != nil {
		return nil, err
	}
	s.request.server.router.Metrics().Scope.Counter("streams_resumed").Inc(1)
	resp, err := s.request.server.router.Upstreams.Do(req, true)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		_ = resp.Body.Close()
		return nil, fmt.Errorf("callers: engine responded to the resume request with %s", resp.Status)
	}
	return resp, nil
}

func (s *streamRelay) address() string {
	return "http://" + s.slot.Upstream.Address + "/v1/streams/" + url.PathEscape(s.streamID)
}

// cancelUpstream cancels the generation of a stream that is no longer read, since a
// resumable engine continues after its connection breaks.
func (s *streamRelay) cancelUpstream() {
	if s.streamID == "" {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(s.request.ctx), cancelTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodDelete, s.address(), nil)
	if err != nil {
		return
	}
	if resp, err := s.request.server.router.Upstreams.Do(req, true); err == nil {
		_ = resp.Body.Close()
	}
}

// endWithError ends a response that can't be completed with an error event, so that
// it is not silently truncated.
func (s *streamRelay) endWithError(cause error) error {
	if s.request.c.Request().Context().Err() != nil {
		return outcomeUnknown("the caller left")
	}
	e := outcomeUnknown("the engine's stream was lost: " + cause.Error())
	data, err := json.Marshal(e.body())
	if err != nil {
		return err
	}
	out := s.request.c.Response()
	_, _ = fmt.Fprintf(out, "event: error\ndata: %s\n\n", data)
	out.Flush()
	s.request.rec.errorEventSent = true
	return e
}
