package callers

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"github.com/aspenswitch/aspenswitch/eventstream"
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

// maxEventBytes limits the bytes of an event that are held until it is complete.
const maxEventBytes = 1 << 20

const (
	idField   = "id"
	dataField = "data"
	// doneData is the data of a stream's last event.
	doneData = "[DONE]"
)

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

// relayEvents relays events up to and including the last one. A stream without its last event
// is incomplete, however its body ended.
func (s *streamRelay) relayEvents(resp *http.Response) error {
	defer func() { _ = resp.Body.Close() }()
	events := eventstream.Buffer{MaxBytes: maxEventBytes}
	buf := make([]byte, streamBufferBytes)
	for {
		n, err := resp.Body.Read(buf)
		if werr := events.Write(buf[:n]); werr != nil {
			return werr
		}
		last, werr := s.writeEvents(resp, events.Take())
		if werr != nil || last {
			return werr
		}
		if err != nil {
			return events.Scanner().Incomplete(eventstream.FramingOf(resp.Request.Method, resp), err)
		}
	}
}

// streamBufferBytes is the size of the read buffer: several events.
const streamBufferBytes = 4 << 10

// writeEvents sends complete events to the caller, up to the last one of the stream. last is set
// if that is among them.
func (s *streamRelay) writeEvents(resp *http.Response, events []byte) (last bool, err error) {
	if len(events) == 0 {
		return false, nil
	}
	length := 0
	for event := range eventstream.Events(events) {
		length += len(event)
		if data, _ := eventstream.Field(event, dataField); string(data) == doneData {
			last = true
			break
		}
	}
	s.writeHeader(resp)
	out := s.request.c.Response()
	if _, err := out.Write(events[:length]); err != nil {
		return false, errCallerDisconnected
	}
	out.Flush()
	if id, found := eventstream.Field(events[:length], idField); found {
		s.lastEventID = string(id)
	}
	return last, nil
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
